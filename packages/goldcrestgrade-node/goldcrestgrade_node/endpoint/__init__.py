"""The endpoint beside this node: announcement, health and drain."""
