"""The durable store of a member: lmdb environment, on-disk format and errors."""
