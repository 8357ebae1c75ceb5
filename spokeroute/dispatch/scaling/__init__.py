"""Scaling: the number of instances of a service, and the duration of each step of a start."""
