"""Generates days of faults and planned work for a deployment, from a seed, targeted at replicated control."""
