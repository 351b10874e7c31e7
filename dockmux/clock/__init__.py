"""The gossiped clock and the list of live peers."""
