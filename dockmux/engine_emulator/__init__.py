"""A stand-in for an engine."""
