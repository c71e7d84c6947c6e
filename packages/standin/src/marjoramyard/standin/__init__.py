"""Test back ends, a launcher for local fleets and a load generator."""
