"""The simulated stream has the real one's ways where the data plane leans on them."""

import pytest

from dockmux.runtime.time_units import ms
from dockmux.simulator.world import SimHost, World

ADDRESS = "10.0.0.1:80"


def _ends(*, how: int) -> list[bytes]:
    """What a task that waits on a connection reads when another task of its process shuts that down."""
    told: list[bytes] = []
    with World(seed=1, link_us=500).open() as world:
        hosts = [
            SimHost(world=world, name=ip, machine=world.machine(ip=ip, site="hill")) for ip in ("10.0.0.1", "10.0.0.2")
        ]
        with hosts[0].listen(address=ADDRESS):
            stream = hosts[1].connect(address=ADDRESS, wait=ms(500))
            hosts[1].spawn(task=lambda: told.append(stream.recv(10)))
            hosts[1].sleep(wait=ms(50))
            stream.shutdown(how)
            hosts[1].sleep(wait=ms(50))
    return told


@pytest.mark.parametrize(("how", "told"), [(0, [b""]), (1, []), (2, [b""])])
def test_shutting_a_stream_down_for_reading_ends_its_own_reader(how, told):
    """As `shutdown` does on a real machine: `Table.expire` and `Table.abandon` wake a waiting task in this way."""
    assert _ends(how=how) == told
