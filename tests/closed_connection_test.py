"""Detecting that the peer has closed a connection, without reading from it."""

import struct

import pytest
from eventlet.green import socket

from dockmux.runtime.host import Host

RESET_AT_CLOSE = struct.pack("ii", 1, 0)


@pytest.fixture
def pair():
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        ours = socket.create_connection(listener.getsockname())
        theirs, _ = listener.accept()
        with ours, theirs:
            yield ours, theirs


def is_closed(*, sock: socket.socket) -> bool:
    return Host(name="test").closed_by_peer(socks=[sock]) == {sock}


def test_a_connection_that_is_in_use_is_not_closed(pair):
    ours, theirs = pair
    assert not is_closed(sock=ours)
    theirs.sendall(b"the next request")
    assert not is_closed(sock=ours)
    assert ours.recv(100) == b"the next request", "the check must not consume data"


@pytest.mark.parametrize("unread", (b"", b"the next request"))
def test_a_close_is_detected_behind_unread_data(pair, unread):
    """Guards against work for clients that have disconnected (GONE)."""
    ours, theirs = pair
    theirs.sendall(unread)
    theirs.close()
    assert is_closed(sock=ours)


def test_a_reset_is_detected(pair):
    ours, theirs = pair
    theirs.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
    theirs.close()
    assert is_closed(sock=ours)


def test_only_closed_connections_are_returned(pair):
    ours, theirs = pair
    closed, other = socket.socketpair()
    with closed:
        other.close()
        assert Host(name="test").closed_by_peer(socks=[ours, theirs, closed]) == {closed}


def test_a_connection_closed_by_this_side_is_not_returned(pair):
    ours, _ = pair
    ours.close()
    assert Host(name="test").closed_by_peer(socks=[ours]) == set()
