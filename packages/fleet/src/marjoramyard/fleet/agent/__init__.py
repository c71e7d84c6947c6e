"""The agent role: the process next to an endpoint."""
