"""Measures the cost of control traffic by fleet size and role, with unmodified daemons on virtual time."""
