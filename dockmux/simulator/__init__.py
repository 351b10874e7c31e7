"""The simulator and the checkers of the twelve rules."""
