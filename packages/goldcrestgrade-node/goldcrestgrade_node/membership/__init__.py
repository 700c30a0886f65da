"""Membership: the state that nodes hold about each other, and its exchange by gossip."""
