"""What runs at the node that a client connects to."""
