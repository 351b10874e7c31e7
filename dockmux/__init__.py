"""A router fleet that serves one large language model with prefill and decode on separate engines."""

import os
import warnings

# All addresses are IP addresses. Loading eventlet's DNS resolver would take a third of a process's start-up time.
os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")

# The choice of eventlet despite its advice against use in new projects is discussed in docs/design.md.
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")
