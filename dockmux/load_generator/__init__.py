"""The load generator."""
