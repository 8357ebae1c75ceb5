"""The model checker: the real register and membership cores, over orders of events."""
