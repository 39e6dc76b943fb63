"""Adapter to the users' platform: names, formats and calls, no decisions.

A folder of this name at the root would shadow the standard library's module.
"""
