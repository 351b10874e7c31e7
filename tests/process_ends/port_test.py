"""Ports that are taken when a daemon starts."""

import contextlib
import socket
from collections.abc import Iterator

import pytest

from tests.process_ends.daemon_process import (
    CONTROL_PORT,
    HTTP_PORT,
    PEER_PORT,
    READYZ_PORT,
    DaemonProcess,
    wait_until,
)

TAKEN_S = 2.0
START_LIMIT_S = 10.0


@contextlib.contextmanager
def taken(*, process: DaemonProcess, place: int, datagrams: bool) -> Iterator[None]:
    with socket.socket(type=socket.SOCK_DGRAM if datagrams else socket.SOCK_STREAM) as holder:
        holder.bind((process.ip, process.ports[place]))
        if not datagrams:
            holder.listen()
        yield


CASES = [
    ("edge", HTTP_PORT, False), ("edge", READYZ_PORT, False), ("edge", PEER_PORT, False), ("edge", PEER_PORT, True),
    ("core", CONTROL_PORT, False), ("core", PEER_PORT, False), ("core", PEER_PORT, True),
]  # fmt: skip


@pytest.mark.parametrize(("role", "place", "datagrams"), CASES)
def test_a_daemon_waits_for_a_taken_port(tmp_path, role, place, datagrams):
    """Guards against a daemon that ends with 1 because a port is still taken when it starts (FAULT)."""
    process = DaemonProcess(role=role, folder=tmp_path)
    process.write_settings()
    try:
        with taken(process=process, place=place, datagrams=datagrams):
            process.start()
            assert wait_until(condition=lambda: "[1011]" in process.log_text, limit_s=START_LIMIT_S), process.log_text
            assert not wait_until(condition=lambda: not process.alive, limit_s=TAKEN_S), process.process.returncode
            if role == "edge" and place in (HTTP_PORT, PEER_PORT):
                assert process.readiness() == 503
                assert process.metric(name="ports_missing") == 1
        assert wait_until(condition=process.answers, limit_s=START_LIMIT_S), process.log_text
        if role == "core":
            process.first_put()
        else:

            def serves() -> bool:
                return process.call(place=HTTP_PORT, path="/")[0] == 503

            assert wait_until(condition=serves, limit_s=3)
            assert wait_until(condition=lambda: process.metric(name="ports_missing") == 0, limit_s=3)
        assert process.terminate() == 0
    finally:
        process.stop()


def test_a_daemon_that_waits_for_a_port_ends_at_sigterm(tmp_path):
    """Guards against a daemon that cannot be stopped while it waits for its port."""
    process = DaemonProcess(role="edge", folder=tmp_path)
    process.write_settings()
    try:
        with taken(process=process, place=HTTP_PORT, datagrams=False):
            process.start()
            assert wait_until(condition=lambda: "[1011]" in process.log_text, limit_s=START_LIMIT_S), process.log_text
            assert process.terminate() == 0
    finally:
        process.stop()
