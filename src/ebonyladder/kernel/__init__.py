"""Kernel: plug-in registry, life cycle, errors, steps and clocks."""
