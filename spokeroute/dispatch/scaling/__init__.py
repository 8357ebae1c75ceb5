"""Scaling: how many instances a service has, and where the time of a start goes."""
