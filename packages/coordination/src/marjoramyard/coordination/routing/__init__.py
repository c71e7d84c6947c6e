"""Route configuration, its validation, and route lookup."""
