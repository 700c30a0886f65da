"""The entry for clients: it reads their requests and sends the answers."""
