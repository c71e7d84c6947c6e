"""The fleet daemon: one application whose roles are extensions."""
