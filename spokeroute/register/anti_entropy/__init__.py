"""Anti-entropy: members compare their registers, and fetch what they lack from each other."""
