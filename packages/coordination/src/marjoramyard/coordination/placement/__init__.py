"""Predicts what a request costs on each endpoint, and chooses one."""
