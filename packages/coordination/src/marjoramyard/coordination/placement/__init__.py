"""Placement of prompts on inference engines, with and without a broker."""
