"""Comparison of the scores in the journal with those of the last landing."""
