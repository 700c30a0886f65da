"""The entry of callers: requests in, answers out."""
