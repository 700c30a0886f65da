"""Requests that run at most once: claims, guard and relay."""
