"""Sheets as operators write them."""
