"""Scripts that start processes for demos and pages."""
