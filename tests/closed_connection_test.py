"""Finding out, without reading, that the other side of a connection has closed it."""

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
    assert ours.recv(100) == b"the next request", "looking took nothing off it"


@pytest.mark.parametrize("unread", (b"", b"the next request"))
def test_a_close_is_found_even_behind_what_was_not_read(pair, unread):
    """Guards against work for clients that have left (GONE)."""
    ours, theirs = pair
    theirs.sendall(unread)
    theirs.close()
    assert is_closed(sock=ours)


def test_a_reset_is_found(pair):
    ours, theirs = pair
    theirs.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
    theirs.close()
    assert is_closed(sock=ours)


def test_only_those_that_are_closed_are_named(pair):
    ours, theirs = pair
    closed, other = socket.socketpair()
    with closed:
        other.close()
        assert Host(name="test").closed_by_peer(socks=[ours, theirs, closed]) == {closed}


def test_one_that_this_side_has_closed_is_not_asked_for(pair):
    ours, _ = pair
    ours.close()
    assert Host(name="test").closed_by_peer(socks=[ours]) == set()
