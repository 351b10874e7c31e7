"""Clients with kept connections, while the edge machine that they are connected to is stopped as planned."""

import asyncio
import re
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from common.deployment import BOUNDS, HOST, Deployment, main, route
from common.http import Answer, encode_request, read_answer

CLIENTS = 12
# A first, short stream, and a second one on the same connection, which takes some four seconds at its engine.
SHORT, LONG = 4, 130
# Streams that are under way at the stop, for some six seconds more: the daemon waits for them.
UNDER_WAY, UNDER_WAY_EVENTS = 3, 200
# The connection rests for so long in between, under four fifths of the configuration's `idle_ms`.
REST_S = 5.0
GRACE_S = float(BOUNDS["grace_s"])


class Client:
    """One client with one connection. Invariant: `tries` has, by id, when each request was sent and what came back."""

    def __init__(self, *, number: int) -> None:
        self.number = number
        self.tries: dict[str, tuple[float, int, Answer]] = {}

    async def run_long(self, *, edge: str, deployment: Deployment) -> None:
        ip, _, port = edge.rpartition(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            await self._send(reader=reader, writer=writer, count=UNDER_WAY_EVENTS, deployment=deployment)
        finally:
            writer.close()

    async def run(self, *, edge: str, deployment: Deployment, rested: asyncio.Event) -> None:
        ip, _, port = edge.rpartition(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            first = await self._send(reader=reader, writer=writer, count=SHORT, deployment=deployment)
            if not first.whole or first.headers.get("connection", "").lower() == "close":
                return
            await rested.wait()
            await asyncio.sleep(0.02 * self.number)
            if reader.at_eof():
                return
            await self._send(reader=reader, writer=writer, count=LONG, deployment=deployment)
        finally:
            writer.close()

    async def _send(
        self, *, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, count: int, deployment: Deployment
    ) -> Answer:  # fmt: skip
        request_id = f"{self.number:04x}{count:04x}abcdef01"
        headers = {
            "Host": HOST, "X-Request-Id": request_id, "X-Model": "m", "X-Tokens": f"60,{count}",
            "X-Prompt-Prefix": f"5c1e07a2:20,{request_id[:8]}:40", "X-Deadline-Ms": "8000",
        }  # fmt: skip
        sent = deployment.seen.now()
        writer.write(encode_request(method="POST", target="/once/x", headers=headers, body=b"x" * 60))
        answer = await asyncio.wait_for(read_answer(reader=reader), 9)
        self.tries[request_id] = (sent, count, answer)
        return answer


async def case(*, trouble: bool) -> tuple[list[str], list[str]]:
    deployment = Deployment()
    seen = deployment.seen
    clients = [Client(number=place) for place in range(CLIENTS)]
    rested = asyncio.Event()
    async with deployment.running(routes=[route(name="once", prefix="/once/", resume=False, tries=1)]):
        calls = [
            asyncio.create_task(client.run(edge=deployment.edges[0], deployment=deployment, rested=rested))
            for client in clients
        ]
        await asyncio.sleep(1)
        busy = [Client(number=CLIENTS + place) for place in range(UNDER_WAY)]
        for client in busy:
            calls.append(asyncio.create_task(client.run_long(edge=deployment.edges[0], deployment=deployment)))
        await asyncio.sleep(0.3)
        told_at = seen.now()
        if trouble:
            deployment.signal(name="edge-0", number=signal.SIGTERM)
        await asyncio.sleep(REST_S)
        rested.set()
        await asyncio.sleep(GRACE_S - REST_S)
        if trouble and deployment.processes["edge-0"].poll() is None:
            deployment.signal(name="edge-0", number=signal.SIGKILL)
        await asyncio.gather(*calls)
    broken, lines = [], list(seen.notes)
    passed_on = {run.request.request_id: run for run in seen.runs}
    for client in [*clients, *busy]:
        for request_id, (sent, count, answer) in client.tries.items():
            run = passed_on.get(request_id)
            got = len(re.findall(rb"(?:^|\n)id: (\d+)\n", answer.body))
            lines.append(
                f"{request_id}: sent {sent - told_at:+.3f} s from the stop, "
                f"{f'run by {run.engine}, ended {run.end}' if run else 'not passed on'}; client got {answer.status}, "
                f"{got} of {count} events, {'whole' if answer.whole else 'not whole'} {answer.error}"
            )
            if run is not None and not answer.whole and told_at + 3 < sent < told_at + GRACE_S + 1:
                broken.append(f"{request_id}: sent {sent - told_at:.3f} s after the stop, passed on and given up")
    return broken, [*lines, f"LOST broken {len(broken)} times", *broken]


if __name__ == "__main__":
    sys.exit(main(folder=Path(__file__).resolve().parent, case=case))
