"""Utility modules without dependencies on the rest of the fleet."""
