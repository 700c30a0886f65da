"""The sheet in force: how a node learns it and adopts it."""
