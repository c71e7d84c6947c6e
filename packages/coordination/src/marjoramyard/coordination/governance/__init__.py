"""Replicated control state: bundles, call ledger, orders, suspects."""
