"""Adapter to the users' platform: names, formats and calls, but no decisions.

A top-level package of this name would shadow the standard library's module.
"""
