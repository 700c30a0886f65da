"""What runs at the node beside an endpoint."""
