"""Clock synchronization by gossip, and the table of live peers."""
