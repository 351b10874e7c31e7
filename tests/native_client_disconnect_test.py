"""Clients of the native interface that disconnect while they wait for an answer."""

import json

import pytest

from dockmux.local_fleet.fleet_plan import load
from dockmux.runtime.time_units import ms
from dockmux.simulator.fleet import fleet

SECOND = ms(1000)


def request_bytes(*, lane: str) -> bytes:
    body = json.dumps({"prompt": "which track", "pieces": 5}).encode()
    head = f"POST /lanes/{lane} HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


@pytest.mark.parametrize("disconnects", (True, False))
def test_a_disconnected_clients_request_is_dropped(disconnects):
    """Guards against requests that stay at engines after their clients have disconnected (GONE)."""
    with fleet(plan=load(path="fleets/mini.yaml"), seed=3) as sim_fleet:
        sim_fleet.begin()
        table = sim_fleet.daemons["edge-0"].table
        for engine in sim_fleet.engines:
            engine.host.freeze()
        stream = sim_fleet.outside.connect(address=sim_fleet.plan.edges[0]["http"], wait=SECOND)
        stream.sendall(request_bytes(lane="ask"))
        sim_fleet.outside.sleep(wait=ms(300))
        assert table.open == 1
        if disconnects:
            stream.close()
        sim_fleet.outside.sleep(wait=ms(500))
        assert table.open == (0 if disconnects else 1)
