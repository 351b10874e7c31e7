"""Gossip of engine load between the daemons."""
