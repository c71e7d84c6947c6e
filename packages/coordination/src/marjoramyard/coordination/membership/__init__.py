"""Membership of endpoints, based on their heartbeats."""
