"""Measurements; nothing here is shipped."""
