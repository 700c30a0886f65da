"""What nodes know of each other, and how they exchange it."""
