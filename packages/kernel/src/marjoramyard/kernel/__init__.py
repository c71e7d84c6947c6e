"""Foundation: ids, errors, registries, settings, logs and metrics."""
