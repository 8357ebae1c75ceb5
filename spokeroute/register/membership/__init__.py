"""Membership: which members' disks count, how that changes, and how a member leaves."""
