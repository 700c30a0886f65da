"""Latency that a node adds to a request, measured on real sockets."""
