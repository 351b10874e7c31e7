"""Soak runs: the daemons as real processes on loopback addresses, under faults drawn from a seed."""
