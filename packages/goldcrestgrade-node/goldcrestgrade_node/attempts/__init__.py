"""Attempts: single sendings of a request to one endpoint."""
