"""Stand-ins for outside systems, load generators, measurements and checks of histories."""
