"""Connections whose file descriptors exceed the limit of select()."""

import os
import resource
import socket

import pytest

from dockmux.runtime.host import Host

FD_SETSIZE = 1024  # select() handles lower descriptors only.


@pytest.fixture
def many_descriptors():
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard < FD_SETSIZE + 100:
        pytest.fail(f"the hard limit on open files is too low: {hard}")
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, FD_SETSIZE + 100), hard))
    yield
    resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def test_a_connection_with_a_high_descriptor_can_be_polled(many_descriptors):
    """Guards against status 500 for requests that were never sent, on an edge with over a thousand connections."""
    ours, theirs = socket.socketpair()
    high = socket.socket(fileno=os.dup2(ours.fileno(), FD_SETSIZE + 50))
    with ours, theirs, high:
        host = Host(name="high")
        assert not host.readable(sock=high)
        theirs.send(b"x")
        assert host.readable(sock=high)
