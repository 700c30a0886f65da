"""Stand-ins for the users' platform: table service, endpoints, a fleet of nodes, a demo."""
