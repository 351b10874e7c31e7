"""Runs a whole fleet of real processes on one machine, as the platform's stand-in."""
