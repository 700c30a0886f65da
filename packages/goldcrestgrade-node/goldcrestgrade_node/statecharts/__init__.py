"""State charts as YAML files."""
