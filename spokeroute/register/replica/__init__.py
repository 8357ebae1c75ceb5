"""The replica: copies of the spread registers at every node, and the proof that they are newest."""
