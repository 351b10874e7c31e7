"""The data plane: admits, assigns, relays and watches."""
