"""Discrete-event simulation of deployments, to compare placement policies.

The simulation uses no network and no wall clock, and draws all random numbers
from a seed.
"""
