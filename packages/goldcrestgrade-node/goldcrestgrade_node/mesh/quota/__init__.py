"""Quotas of workspaces over all nodes together: tokens that are transferred and never copied."""
