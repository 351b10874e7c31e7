"""What a daemon's process needs before anything else is imported or done: a log that cannot block it, and no end by
stray signals."""

import signal

from dockmux.runtime.log_output import process_log_output

# Nobody sends these to a daemon on purpose, and their default action would end the process.
IGNORED_SIGNALS = (
    signal.SIGUSR1, signal.SIGUSR2, signal.SIGALRM, signal.SIGVTALRM, signal.SIGPROF, signal.SIGPIPE, signal.SIGXFSZ,
    signal.SIGXCPU, signal.SIGIO,
)  # fmt: skip


def prepare_process() -> None:
    """A daemon ends at SIGTERM and SIGINT; SIGQUIT and SIGABRT keep ending it with a core dump."""
    for number in IGNORED_SIGNALS:
        signal.signal(number, signal.SIG_IGN)
    process_log_output.install()
