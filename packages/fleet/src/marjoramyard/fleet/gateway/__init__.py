"""The gateway: an entry that dispatches straight to endpoints."""
