"""The mesh request path, in which only the node on its instance sends requests to an endpoint.

A client connects to any node, the entry node. The entry node chooses an instance and passes the
request to that instance's node (the endpoint's node), which sends it to the endpoint.
"""
