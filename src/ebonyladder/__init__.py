"""Database proxy with session consistency and a public status page."""

__version__ = "0.1.0"
