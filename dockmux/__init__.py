"""A router fleet that serves one large language model with prefill and decode on separate engines."""

import warnings

# The house builds on eventlet; its advice against new projects is known and weighed in docs/design.md.
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")
