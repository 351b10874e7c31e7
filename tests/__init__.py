"""Tests that play the platform against the daemons, on virtual time."""
