"""Open-loop load generator that checks every answer stream."""
