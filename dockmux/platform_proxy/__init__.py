"""The data plane that hands requests through unchanged: routes, engines, placement, shared retry budget."""
