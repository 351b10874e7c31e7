"""The simulated stream behaves like a real socket where the data plane relies on it."""

import pytest

from dockmux.runtime.time_units import ms
from dockmux.simulator.world import SimHost, World

ADDRESS = "10.0.0.1:80"


def _read_at_shutdown(*, how: int) -> list[bytes]:
    """What a task that waits for data reads when another task of its process shuts the connection down with `how`."""
    received: list[bytes] = []
    with World(seed=1, link_us=500).open() as world:
        hosts = [
            SimHost(world=world, name=ip, machine=world.machine(ip=ip, site="hill")) for ip in ("10.0.0.1", "10.0.0.2")
        ]
        with hosts[0].listen(address=ADDRESS):
            stream = hosts[1].connect(address=ADDRESS, wait=ms(500))
            hosts[1].spawn(task=lambda: received.append(stream.recv(10)))
            hosts[1].sleep(wait=ms(50))
            stream.shutdown(how)
            hosts[1].sleep(wait=ms(50))
    return received


@pytest.mark.parametrize(("how", "received"), [(0, [b""]), (1, []), (2, [b""])])
def test_shutting_a_stream_down_for_reading_ends_its_own_reader(how, received):
    """As `shutdown` does on a real socket. `RequestTable.cancel_expired` and `cancel_stalled` wake the task that waits
    for an engine in this way."""
    assert _read_at_shutdown(how=how) == received
