"""Anti-entropy: members compare what they have, and take what they lack."""
