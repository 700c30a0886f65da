"""The node: the process on each instance that is entry node, guard and member of the fleet."""
