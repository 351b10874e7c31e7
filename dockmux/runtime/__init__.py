"""Shared by all packages: message schema, settings, outcomes, log events, framing, storage and the Host interface."""
