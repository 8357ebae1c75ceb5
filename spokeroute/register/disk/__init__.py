"""The disk: the durable store of a member, its format and its faults."""
