"""The control plane: an agreed view, a chain, permits, sessions, snapshots."""
