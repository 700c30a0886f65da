"""Latency that a node adds to a call, measured on real sockets."""
