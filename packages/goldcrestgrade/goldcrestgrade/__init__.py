"""Code shared by the node, the command line and the test programs of goldcrestgrade."""
