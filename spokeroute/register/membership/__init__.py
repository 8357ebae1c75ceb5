"""The membership: whose disks count, how that changes, and how a member leaves."""
