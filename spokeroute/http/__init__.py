"""HTTP/1.1 towards callers and operators: parsing, limits, connections, dialects."""
