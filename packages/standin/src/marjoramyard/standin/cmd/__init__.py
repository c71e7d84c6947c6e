"""Commands: a demo, a test endpoint and placement experiments."""
