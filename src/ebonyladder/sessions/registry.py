"""Registry of the plug-ins that make up the session daemon."""

from ebonyladder.kernel.registry import Registry

REGISTRY = Registry()
register = REGISTRY.register
