"""The demo: a whole deployment on loopback under load, and whether its promises held."""
