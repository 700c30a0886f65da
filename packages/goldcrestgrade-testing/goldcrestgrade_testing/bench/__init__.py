"""Seeded experiments that run routing policies side by side on the same arrivals."""
