"""The request path in which only the node beside an endpoint reaches it.

A request goes from the node that a client calls (the entry) to the node beside an endpoint, and
from there to the endpoint.
"""
