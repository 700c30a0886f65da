"""Membership: the state that nodes store about each other, and its exchange by gossip."""
