"""The acceptor: one member's promises and acceptances, and what it does while its store is away."""
