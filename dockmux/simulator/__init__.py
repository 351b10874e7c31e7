"""Deterministic simulation of a fleet under virtual time, fault injection, and the checkers of the twelve rules."""
