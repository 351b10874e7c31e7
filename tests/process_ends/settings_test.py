"""Settings that cannot be used when a daemon starts."""

import pytest

from tests.process_ends.daemon_process import DaemonProcess, wait_until

START_LIMIT_S = 10.0
UNUSABLE = {"no file": None, "empty": "", "half": "nodename=a\nip=127.", "no UTF-8": "\udcff", "seeds=": "seeds="}


@pytest.mark.parametrize("kind", UNUSABLE)
@pytest.mark.parametrize("role", ("edge", "core"))
def test_a_daemon_waits_for_settings_that_it_can_use(tmp_path, role, kind):
    """Guards against a daemon that ends with 2 because its settings file is being written when it starts (FAULT)."""
    process = DaemonProcess(role=role, folder=tmp_path)
    text = UNUSABLE[kind]
    if text is not None:
        process.settings_file.write_bytes(text.encode("utf-8", "surrogateescape"))
    try:
        process.start()
        assert wait_until(condition=lambda: "[1012]" in process.log_text, limit_s=START_LIMIT_S), process.log_text
        assert not wait_until(condition=lambda: not process.alive, limit_s=1.0), process.process.returncode
        process.write_settings()
        assert wait_until(condition=process.answers, limit_s=START_LIMIT_S), process.log_text
        assert process.terminate() == 0
    finally:
        process.stop()


def test_a_daemon_that_waits_for_settings_ends_at_sigterm(tmp_path):
    """Guards against a daemon that cannot be stopped in order while it waits for its settings."""
    process = DaemonProcess(role="edge", folder=tmp_path)
    try:
        process.start()
        assert wait_until(condition=lambda: "[1012]" in process.log_text, limit_s=START_LIMIT_S), process.log_text
        assert process.terminate() == 0
    finally:
        process.stop()
