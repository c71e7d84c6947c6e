"""Serving of single requests: frames, retries, slots and queues."""
