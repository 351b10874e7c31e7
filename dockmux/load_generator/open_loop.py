"""Open-loop load: requests arrive independently of the progress of earlier ones."""

import dataclasses
import random
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from dockmux.engine_emulator import answer_model
from dockmux.load_generator.client import Attempt, LoadRequest, send
from dockmux.local_fleet.fleet_plan import FleetPlan
from dockmux.runtime.config_tree import resolve
from dockmux.runtime.host import Host
from dockmux.runtime.task_group import TaskGroup
from dockmux.runtime.time_units import ms

PROMPT_CHARACTERS = "abcdefghijklmnopqrstuvwxyz     "

# Outcome kinds after which a client does not retry.
FINAL_KINDS = {"answered", "bad_identity"}


class OpenLoopLoad:
    """Generates Poisson arrivals of the plan's mix and records every attempt.

    Invariants: `attempts` has a row for every attempt; a client retries its request up to `max_retries` times under
    the same identity, no sooner than the answer's retry time, at a proxy chosen anew; three of four clients send the
    number of the attempt. `trees` are the configurations that may become active; `stop_at` ends the load early."""

    def __init__(
        self,
        *,
        host: Host,
        plan: FleetPlan,
        seed: int,
        identity_prefix: str = "u",
        max_retries: int = 0,
        trees: Any = (),
    ) -> None:
        self.host = host
        self.plan = plan
        self.random = random.Random(seed)
        self.identity_prefix = f"{identity_prefix}{seed}"
        self.max_retries = max_retries
        self.attempts: list[Attempt] = []
        self.requests: list[LoadRequest] = []
        self.request_count = 0
        self.stop_at: timedelta | None = None
        tree = plan.tree
        self.trees = [tree, *trees]
        self.run_modes = {lane: resolve(tree=tree, lane=lane, site="")["run"] for lane in tree["lanes"]}
        self.prefixes: dict[tuple[str, int], str] = {}

    def _random_text(self, *, size_bytes: int) -> str:
        return "".join(self.random.choices(PROMPT_CHARACTERS, k=max(size_bytes, 1)))

    def _prefix(self, *, mix_entry: dict[str, Any]) -> str:
        key = (mix_entry["lane"], self.random.randrange(mix_entry["prefixes"]))
        if key not in self.prefixes:
            self.prefixes[key] = self._random_text(size_bytes=mix_entry["prefixBytes"])
        return self.prefixes[key]

    def _choose_mix_entry(self, *, mix_bias: str) -> dict[str, Any]:
        """Draws an entry of the mix by weight; a bias (`prompts`, `answers`) selects the one with the longest."""
        mix = self.plan.mix
        if mix_bias == "prompts":
            return max(mix, key=lambda mix_entry: mix_entry["promptBytes"] + mix_entry["prefixBytes"])
        if mix_bias == "answers":
            return max(mix, key=lambda mix_entry: mix_entry["pieces"][1])
        return self.random.choices(mix, weights=[mix_entry["weight"] for mix_entry in mix])[0]

    def next_request(self, *, mix_entry: dict[str, Any]) -> LoadRequest:
        """Generates the next request of an entry of the mix, with its expected answers."""
        edge = self.random.choice(self.plan.edges)
        self.request_count += 1
        identity = f"{self.identity_prefix}-{self.request_count}"
        low, high = mix_entry["pieces"]
        body = {
            "prefix": self._prefix(mix_entry=mix_entry),
            "prompt": self._random_text(size_bytes=int(mix_entry["promptBytes"] * self.random.uniform(0.5, 1.5))),
            "pieces": self.random.randint(low, high),
        }
        sites = {edge["site"] for edge in self.plan.edges}
        lane_configs = [
            resolve(tree=tree, lane=mix_entry["lane"], site=site) for tree in self.trees for site in sorted(sites)
        ]
        models = sorted({(v["model"], v["adapter"]) for v in lane_configs if v is not None}, key=repr)
        request_id = f"{mix_entry['lane']}/{identity}"
        answers = [
            answer_model.expected_answer(request=request_id, model=name, adapter=adapter, body=body)
            for name, adapter in models
        ]
        return LoadRequest(
            lane=mix_entry["lane"], identity=identity, body=body, answers=answers,
            sends_attempt_number=self.request_count % 4 != 0,
            horizon=ms(max(v["horizonMs"] for v in lane_configs if v is not None)), edge=edge["http"],
        )  # fmt: skip

    def _run_attempts(self, *, request: LoadRequest, attempt: Attempt, since: timedelta, resumable: bool) -> None:
        """Sends a request and retries it until its outcome is final or the retries are used up.

        A retry of a resumable lane resumes after the pieces received so far if the stream broke."""
        send(host=self.host, request=request, attempt=attempt, since=since)
        for _ in range(self.max_retries):
            if attempt.kind in FINAL_KINDS:
                return
            last = attempt
            self.host.sleep(wait=max(ms(attempt.retry_ms), ms(200)) * self.random.uniform(1, 1.5))
            request = dataclasses.replace(request, edge=self.random.choice(self.plan.edges)["http"])
            attempt = Attempt(
                lane=request.lane, identity=request.identity, edge=request.edge, intended=self.host.elapsed() - since,
                number=last.number + 1,
            )  # fmt: skip
            if resumable and last.count and last.kind in ("cut", "failed"):
                attempt.resume_from, attempt.answer_id, attempt.matching_answers = (
                    last.count,
                    last.answer_id,
                    last.matching_answers,
                )
            self.attempts.append(attempt)
            send(host=self.host, request=request, attempt=attempt, since=since)

    def resend_last(self, *, run_mode: str, max_count: int, since: timedelta) -> None:
        """Sends the last requests of the lanes with this run mode again under the same identities, answered or not."""
        selected = [request for request in self.requests if self.run_modes[request.lane] == run_mode][-max_count:]
        for request in selected:
            number = 1 + max(attempt.number for attempt in self.attempts if attempt.identity == request.identity)
            now = self.host.elapsed() - since
            attempt = Attempt(
                lane=request.lane, identity=request.identity, edge=request.edge, intended=now, number=number
            )
            self.attempts.append(attempt)
            send(host=self.host, request=request, attempt=attempt, since=since)

    def run(
        self,
        *,
        duration: timedelta,
        since: timedelta,
        rate: Callable[[timedelta], float] | None = None,
        mix_bias_source: Any = None,
    ) -> None:
        """Sends requests for `duration`, or until `stop_at`, then waits until every stream has ended.

        `since` is the start of the run on the host's clock; `rate` returns the arrival rate in requests per second at a
        time of the run; the attribute `mix_bias` of `mix_bias_source` is read for each request."""
        with TaskGroup(host=self.host) as task_group:
            tasks = []
            due = self.host.elapsed() - since
            end = due + duration
            while True:
                requests_per_second = rate(due) if rate else self.plan.requests_per_second
                due += timedelta(seconds=self.random.expovariate(requests_per_second))
                if due >= (end if self.stop_at is None else min(end, self.stop_at)):
                    break
                request = self.next_request(
                    mix_entry=self._choose_mix_entry(mix_bias=getattr(mix_bias_source, "mix_bias", ""))
                )
                attempt = Attempt(lane=request.lane, identity=request.identity, edge=request.edge, intended=due)
                self.attempts.append(attempt)
                self.requests.append(request)
                self.host.sleep(wait=since + due - self.host.elapsed())
                resumable = self.run_modes[request.lane] == "resumable"
                tasks.append(
                    task_group.start(
                        task=self._run_attempts, request=request, attempt=attempt, since=since, resumable=resumable
                    )
                )
            for task in tasks:
                task.wait()
