"""The gateway: admits callers' requests and sends them to endpoints."""
