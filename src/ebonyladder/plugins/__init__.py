"""Plug-ins of the daemon; each module registers its plug-in on import."""
