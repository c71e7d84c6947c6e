"""The command line of the daemon."""
