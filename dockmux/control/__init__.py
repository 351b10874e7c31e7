"""The control plane: view agreement, chain replication, leases, sessions, snapshots."""
