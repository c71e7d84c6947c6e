"""Fleet-wide fair queueing of workspaces, based on replicated totals."""
