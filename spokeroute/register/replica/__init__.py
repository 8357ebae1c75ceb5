"""Replica: local copies of the replicated registers, and proofs that they are the newest."""
