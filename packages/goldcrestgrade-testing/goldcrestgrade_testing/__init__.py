"""Stand-ins for outside systems, load, measurement and history checking."""
