"""The control address for peers, operators and this node's endpoint."""
