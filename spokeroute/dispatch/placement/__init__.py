"""Placement: the role that decides, its plan, the placement table and the platform's calls."""
