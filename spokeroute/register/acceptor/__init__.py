"""The Paxos acceptor of one member, including its read-only mode while the store is unavailable."""
