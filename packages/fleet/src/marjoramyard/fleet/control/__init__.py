"""The role of a control host: the replicated state and its service."""
