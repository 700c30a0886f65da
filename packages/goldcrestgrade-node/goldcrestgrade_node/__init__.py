"""The process beside each endpoint instance: entry, guard and member."""
