"""Runs a whole fleet as real processes on one machine, in place of a deployment platform."""
