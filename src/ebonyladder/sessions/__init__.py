"""Sessions of callers on connections, run over shared endpoint connections."""
