"""Seeded experiments that compare routing policies on the same sequence of requests."""
