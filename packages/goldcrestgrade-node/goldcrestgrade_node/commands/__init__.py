"""Commands of the node."""
