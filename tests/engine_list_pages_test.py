"""An engine list whose pages do not end, and one with rows that cannot be used."""

from collections.abc import Iterator
from typing import Any

import platform_adapter
import pytest

from dockmux.platform_proxy.deployment import Deployment
from dockmux.platform_proxy.directory import MAX_PAGES, Directory
from dockmux.runtime.http_transport import HttpExchange, serve
from dockmux.runtime.log_events import LogEvent
from dockmux.runtime.task_group import TaskGroup
from dockmux.runtime.time_units import ms
from dockmux.simulator.world import SimHost, World

LIST_ADDRESS = "10.200.0.9:8169"
CALLS_PER_SECOND = 47.0
DAEMONS = 3


def entry(*, name: str, **changed: Any) -> dict[str, Any]:
    return {"id": name, "svc": "desk", "addr": "10.0.0.9:8080", "slots": 64, "st": "ready", **changed}


class Pages:
    """Answers every call with another page. Invariant: `calls` is the number of calls so far."""

    def __init__(self, *, adds_rows: bool) -> None:
        self.adds_rows = adds_rows
        self.calls = 0

    def handle(self, exchange: HttpExchange) -> Iterator[bytes]:
        self.calls += 1
        name = f"i-{self.calls}" if self.adds_rows else "i-1"
        return exchange.reply(status=200, fields={"insts": [entry(name=name)], "next": f"p-{self.calls}"})


def played(*, pages: Pages, seconds: int) -> tuple[list[Directory], World]:
    """Daemons that fetch the list, as often as each is due, for a time."""
    with World(seed=5, link_us=300).open() as world:
        hosts = [
            SimHost(world=world, name=f"d{place}", machine=world.machine(ip=f"10.9.0.{place + 1}", site="s"))
            for place in range(DAEMONS + 1)
        ]
        host = SimHost(world=world, name="list", machine=world.machine(ip="10.200.0.9", site="s"))
        deployment = Deployment(list_address=LIST_ADDRESS, list_per_second=CALLS_PER_SECOND)
        adapter = platform_adapter.PlatformAdapter()
        directories = [Directory(host=each, deployment=deployment, protocol=adapter) for each in hosts[1:]]

        def fetch(directory: Directory, rank: int) -> None:
            while True:
                directory.host.sleep(wait=ms(100))
                if directory.due(rank=rank):
                    directory.refresh(daemons=DAEMONS)

        with TaskGroup(host=host) as task_group, host.listen(address=LIST_ADDRESS) as listener:
            task_group.supervise(task=serve, host=host, listener=listener, handler=pages.handle)
            for rank, directory in enumerate(directories):
                directory.host.spawn(task=fetch, directory=directory, rank=rank)
            hosts[0].sleep(wait=ms(1000 * seconds))
        return directories, world


@pytest.mark.parametrize("adds_rows", (True, False))
def test_pages_without_end_are_fetched_at_the_platforms_rate(adds_rows):
    """Guards against daemons that call the platform past its rate, as long as it names a further page."""
    pages, seconds = Pages(adds_rows=adds_rows), 20
    directories, _ = played(pages=pages, seconds=seconds)
    assert pages.calls <= CALLS_PER_SECOND * seconds, pages.calls
    if not adds_rows:
        assert all(set(directory.rows) == {"i-1"} for directory in directories)


def test_a_page_that_adds_nothing_ends_the_list_and_is_reported():
    """Guards against a list of which nothing is used because its last page names a further one."""
    pages = Pages(adds_rows=False)
    directories, world = played(pages=pages, seconds=2)
    assert directories[0].rows and pages.calls < MAX_PAGES
    assert any(log_event is LogEvent.LIST_INCOMPLETE for _, _, log_event, _ in world.logged)


UNUSABLE = (
    entry(name="\ud800"), entry(name="a\r\nX: y"), entry(name="i-2", addr="10.0.0.9"), entry(name="i-3", slots=None),
    entry(name="é"), entry(name="i-4", addr="10.0.0.9\r:80"), entry(name="i-5", svc="\udfff"), None, [],
)  # fmt: skip


@pytest.mark.parametrize("row", UNUSABLE)
def test_a_row_that_cannot_be_used_does_not_spoil_the_others(row):
    """Guards against requests that fail because a row of the list holds text that cannot be sent."""
    body = platform_adapter.json.dumps({"insts": [entry(name="i-1"), row], "next": None}).encode()
    page = platform_adapter.PlatformAdapter().parse_list(body=body)
    assert [each.engine for each in page.rows] == ["i-1"] and page.malformed == 1
