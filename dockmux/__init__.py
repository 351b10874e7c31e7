"""A router fleet that serves one large language model with prefill and decode on separate engines."""
