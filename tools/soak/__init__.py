"""A soak of real processes: kept connections, and signals, restarts and changes that overlap."""
