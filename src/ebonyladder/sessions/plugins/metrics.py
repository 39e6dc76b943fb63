"""Metrics of the session daemon, by the same plug-in as in the HTTP daemon."""

from ebonyladder.plugins.metrics import MetricsPlugin
from ebonyladder.sessions.registry import register

register(MetricsPlugin)
