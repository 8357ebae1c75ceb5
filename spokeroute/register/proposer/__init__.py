"""The proposer: rounds of prepare and accept, and what was chosen while a member was away."""
