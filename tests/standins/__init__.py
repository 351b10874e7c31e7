"""Stand-ins for what the platform brings: engines, the list of engines, clients and the operator."""
