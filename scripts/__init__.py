"""Demonstrations and scripts that generate pages of the documentation."""
