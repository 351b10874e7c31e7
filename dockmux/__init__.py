"""A router fleet that serves one large language model with prefill and decode on separate engines."""

import os
import warnings

# Addresses are IP numbers. The resolver that eventlet would load takes a third of a process's start.
os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")

# The house builds on eventlet; its advice against new projects is known and weighed in docs/design.md.
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")
