"""Randomized soak of the real programs with faults that are injected from outside them."""
