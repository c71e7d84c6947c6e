"""The entry role: receives, queues and forwards callers' requests."""
