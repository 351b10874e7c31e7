"""Emulated engine for tests and local fleets."""
