"""Command line for the operators of a fleet."""
