"""Stand-ins of the users' platform: its store, its endpoints, and a demo of the whole path."""
