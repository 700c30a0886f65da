"""The endpoint of this node: announcements, health and drain."""
