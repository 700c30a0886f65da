"""The demo: runs a whole deployment on loopback under load and checks its promises."""
