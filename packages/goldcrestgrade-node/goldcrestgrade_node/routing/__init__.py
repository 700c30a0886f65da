"""Pure decisions on where a request is sent, and the statistics that they read."""
