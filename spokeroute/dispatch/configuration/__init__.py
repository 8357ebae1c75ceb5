"""The configuration: its models, its validation, and the tables compiled from it."""
