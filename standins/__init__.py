"""Stand-ins for the platform's store and for database endpoints; not shipped."""
