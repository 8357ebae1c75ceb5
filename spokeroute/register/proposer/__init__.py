"""The Paxos proposer: prepare and accept rounds, and hinted handoff to members that missed them."""
