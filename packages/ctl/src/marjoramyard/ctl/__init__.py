"""The command-line tool of operators and auditors."""
