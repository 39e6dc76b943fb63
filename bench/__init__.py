"""Measurements against baselines of our own."""
