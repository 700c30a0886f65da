"""Attempts: requests on their way to an endpoint."""
