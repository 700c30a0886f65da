"""Randomized soak test of node processes, with faults injected from outside the processes."""
