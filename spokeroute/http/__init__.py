"""HTTP/1.1 for callers and operators: parsing, limits, connections, dialects."""
