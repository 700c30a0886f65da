"""Model of a fleet in virtual time, whose nodes make their decisions with the real code."""
