"""Soak runs: the project's programs as real processes on loopback addresses, under troubles drawn from a seed."""
