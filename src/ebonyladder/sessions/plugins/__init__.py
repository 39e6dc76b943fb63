"""Plug-ins of the session daemon; each registers itself on import."""
