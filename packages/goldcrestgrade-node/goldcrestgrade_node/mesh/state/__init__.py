"""State that all nodes share, and the tasks that keep it current."""
