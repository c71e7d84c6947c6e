"""Utilities that all roles of the daemon share."""
