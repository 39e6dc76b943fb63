"""Measurements; each command prints JSON and a short table."""
