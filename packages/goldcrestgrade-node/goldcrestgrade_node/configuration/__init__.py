"""The sheet in force: how a node fetches and adopts it."""
