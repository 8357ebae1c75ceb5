"""The configuration: its models, its checks, and the tables that are compiled from it."""
