"""Pure decisions on where a request goes, and the evidence that they read."""
