"""Measurements, each a command: ``python -m bench.NAME``."""
