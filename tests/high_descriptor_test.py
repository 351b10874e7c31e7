"""Connections whose descriptors have high numbers."""

import os
import resource
import socket

import pytest

from dockmux.runtime.host import Host

SELECT_MOST = 1024


@pytest.fixture
def many_descriptors():
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard < SELECT_MOST + 100:
        pytest.fail(f"at most {hard} descriptors here")
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, SELECT_MOST + 100), hard))
    yield
    resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def test_a_connection_with_a_high_descriptor_can_be_looked_at(many_descriptors):
    """Guards against requests that fail unsent on an edge with over a thousand connections (500)."""
    ours, theirs = socket.socketpair()
    high = socket.socket(fileno=os.dup2(ours.fileno(), SELECT_MOST + 50))
    with ours, theirs, high:
        host = Host(name="high")
        assert not host.readable(sock=high)
        theirs.send(b"x")
        assert host.readable(sock=high)
