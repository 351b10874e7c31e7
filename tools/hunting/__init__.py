"""Draws days of a deployment, aimed at what a replicated control plane gets wrong, from a seed."""
