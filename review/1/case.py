"""Streams that may be resumed, while one engine crashes and another one fails part of its requests."""

import asyncio
import re
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from common.deployment import HOST, Deployment, main, route
from common.engine import stream_body
from common.http import Answer, encode_request, read_answer

ROUNDS = 5
STREAMS = 60
EVENTS = 60
# The share of its requests that the one grey engine fails, as the bench's list of kinds has it.
ERROR_SHARE = 0.4
# How long the crashed engine is down; it comes back as a new one.
DOWN_S = 2.0


async def send(*, edge: str, request_id: str) -> Answer:
    ip, _, port = edge.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    headers = {
        "Host": HOST, "X-Request-Id": request_id, "X-Model": "m", "X-Tokens": f"60,{EVENTS}",
        "X-Prompt-Prefix": f"5c1e07a2:20,{request_id[:8]}:40", "X-Deadline-Ms": "8000",
    }  # fmt: skip
    writer.write(encode_request(method="POST", target="/notes/one", headers=headers, body=b"x" * 60))
    try:
        return await asyncio.wait_for(read_answer(reader=reader), 9)
    except TimeoutError:
        return Answer(error="the client's deadline passed")
    finally:
        writer.close()


async def round_of_streams(*, deployment: Deployment, number: int, trouble: bool) -> dict[str, Answer]:
    """Streams at all edge machines; in the middle of them one writing engine crashes, while another one is grey."""
    seen = deployment.seen
    writers = [engine for engine in deployment.engines if engine.phase == "decode"]
    ids = [f"{number:02x}{place:02x}a1b2c3d4e5f6" for place in range(STREAMS)]
    calls = []
    for place, request_id in enumerate(ids):
        calls.append(asyncio.create_task(send(edge=deployment.edges[place % 3], request_id=request_id)))
        await asyncio.sleep(0.015)
    if not trouble:
        return dict(zip(ids, await asyncio.gather(*calls), strict=True))
    grey, crashing = writers[number % 3], writers[(number + 1) % 3]
    seen.note(f"engine {grey.name} begins to fail {ERROR_SHARE} of its requests with 500")
    grey.error_share = ERROR_SHARE
    await asyncio.sleep(0.1)
    await crashing.crash()
    answers = await asyncio.gather(*calls)
    await asyncio.sleep(DOWN_S)
    grey.error_share = 0.0
    await deployment.restart_engine(engine=crashing)
    # The next round has a retry window of its own.
    await asyncio.sleep(6)
    return dict(zip(ids, answers, strict=True))


async def case(*, trouble: bool) -> tuple[list[str], list[str]]:
    deployment = Deployment()
    seen = deployment.seen
    answers: dict[str, Answer] = {}
    async with deployment.running(routes=[route(name="notes", prefix="/notes/", resume=True)]):
        for number in range(ROUNDS):
            answers |= await round_of_streams(deployment=deployment, number=number, trouble=trouble)
    broken, lines = [], list(seen.notes)
    for request_id, answer in answers.items():
        runs = [run for run in seen.runs if run.request.request_id == request_id]
        told = "; ".join(
            f"{run.at:.3f} s {run.engine} from {run.request.headers.get('last-event-id', 'the start')}, "
            f"events {run.events[:1]}..{run.events[-1:]}, ended {run.end}"
            for run in runs
        )
        got = [int(number) for number in re.findall(rb"(?:^|\n)id: (\d+)\n", answer.body)]
        lines.append(
            f"{request_id}: ran {told} | client got {answer.status}, events 1..{got[-1] if got else 0} of {EVENTS}, "
            f"{'framed as complete' if answer.whole else 'broken off'} {answer.error}"
        )
        if answer.status == 200 and answer.whole and answer.body != stream_body(request_id=request_id, count=EVENTS):
            broken.append(f"{request_id}: ends as complete after {len(got)} of {EVENTS} events")
    return broken, [*lines, f"ORDER broken {len(broken)} times in {len(answers)} streams", *broken]


if __name__ == "__main__":
    sys.exit(main(folder=Path(__file__).resolve().parent, case=case))
