"""Scripts for the work on the project."""
