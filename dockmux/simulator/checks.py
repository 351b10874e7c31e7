"""Checks of a run's ground truth against the twelve rules of the service, and that every request gets an answer.

Each check returns one line for each violation; an empty list is a pass. The number in a check's docstring is the
rule's; the sentence after it says what violates the rule.
"""

from collections import Counter, defaultdict
from collections.abc import Callable
from datetime import timedelta

from dockmux.load_generator.client import Attempt
from dockmux.runtime.config import CONFIGS_KEPT
from dockmux.runtime.config_tree import extra_percent, resolve
from dockmux.runtime.outcomes import HTTP_MAPPINGS, OutcomeKind
from dockmux.runtime.time_units import ms
from dockmux.simulator.ground_truth import ConfigChange, EngineEvent, GroundTruth

SECOND = timedelta(seconds=1)
MAX_RECOVERY_TIME = 12 * SECOND
MIN_RECOVERED_SHARE = 0.25
EXTRA_SEND_WINDOW = 10 * SECOND
RECOVERY_WINDOW = 2 * SECOND


def once_runs_once(*, truth: GroundTruth) -> list[str]:
    """1. A request runs twice although the configuration it is sent under allows it to run only once."""
    counts: Counter[tuple[str, str]] = Counter()
    for event in truth.engine_calls():
        if event.fields["run"] == "once":
            counts[(event.fields["request"], event.what)] += 1
    return [f"{request}: {what} ran {n} times" for (request, what), n in sorted(counts.items()) if n > 1]


def _refused(*, attempt: Attempt) -> bool:
    """Whether the attempt was refused.

    bad_identity doesn't count: the attempt had another body, so it was another request, and the answer says nothing
    about the request that the identity belongs to.
    """
    return (
        attempt.kind in set(OutcomeKind) - {OutcomeKind.BAD_IDENTITY}
        and HTTP_MAPPINGS[OutcomeKind(attempt.kind)].refusal
    )


def refused_never_runs(*, truth: GroundTruth) -> list[str]:
    """2. A request is refused although it has run, or runs later without another attempt.

    All attempts with one identity are one request, at whichever daemon they arrive.
    """
    call_times: dict[str, list[timedelta]] = defaultdict(list)
    for event in truth.engine_calls():
        call_times[event.fields["request"]].append(event.at)
    attempts: dict[str, list[Attempt]] = defaultdict(list)
    for attempt in truth.attempts:
        attempts[f"{attempt.lane}/{attempt.identity}"].append(attempt)
    violations = []
    for request, request_attempts in attempts.items():
        request_attempts.sort(key=lambda attempt: attempt.number)
        for index, attempt in enumerate(request_attempts):
            next_attempt_at = (
                request_attempts[index + 1].intended
                if index + 1 < len(request_attempts)
                else truth.ended_at + 60 * SECOND
            )
            earlier_calls = [at for at in call_times[request] if at < next_attempt_at]
            if _refused(attempt=attempt) and earlier_calls:
                violations.append(
                    f"{request}: refused as {attempt.kind} at {attempt.ended}, but ran at {earlier_calls[0]}"
                )
    return violations


def _stream_violations(*, truth: GroundTruth, phrases: tuple[str, ...]) -> list[str]:
    """Returns the faults that user agents found in their streams whose text has one of the phrases."""
    return [
        f"{attempt.lane}/{attempt.identity}: {text}"
        for attempt in truth.attempts
        for text in attempt.violations
        if any(phrase in text for phrase in phrases)
    ]


def answers_are_own_and_whole(*, truth: GroundTruth) -> list[str]:
    """3. A user agent gets another request's answer, parts of two answers, or a cut answer marked as complete."""
    violations = _stream_violations(
        truth=truth, phrases=("a piece of", "not of this answer", "complete", "digest", "after the last")
    )
    for event in truth.engine_calls():
        if event.what == "decode" and event.fields["start"] and event.fields["run"] != "resumable":
            violations.append(f"{event.fields['request']}: another run continues from piece {event.fields['start']}")
    return violations


def pieces_in_order(*, truth: GroundTruth) -> list[str]:
    """4. A stream loses, repeats or reorders pieces."""
    return _stream_violations(truth=truth, phrases=("was due", "stamped"))


def memory_is_own(*, truth: GroundTruth) -> list[str]:
    """5. A decode engine continues from the KV cache of another request's prompt."""
    return [
        f"{event.engine} decoded {event.fields['request']} from the KV cache of {event.fields['memory_of']}"
        for event in truth.engine_events
        if event.what == "decode" and event.fields["memory_of"] != event.fields["request"]
    ]


def services_are_allowed(*, truth: GroundTruth) -> list[str]:
    """6. A request reaches a service that no configuration ever gave to its lane."""
    allowed = defaultdict(set)
    for change in truth.config_changes:
        for lane, values in change.tree.get("lanes", {}).items():
            allowed[lane].add(values.get("service"))
    return [
        f"{event.fields.get('request')} reached {event.engine} of {event.service} ({event.what})"
        for event in truth.engine_events
        if event.what in ("prefill", "decode", "rejected")
        and event.service not in allowed[event.fields["request"].partition("/")[0]]
    ]


def leaving_gets_nothing(*, truth: GroundTruth) -> list[str]:
    """7. An engine receives new work more than 3 s after it is known to be leaving.

    A call that the engine rejects as late doesn't count: it is returned unprocessed.
    """
    leaving_since: dict[str, timedelta] = {}
    violations = []
    timeline: list[tuple[timedelta, int, str, EngineEvent | None]] = [
        (at, 0, incarnation, None) for at, incarnation in truth.leave_notices
    ]
    timeline += [(event.at, 1, event.incarnation, event) for event in truth.engine_events]
    for at, _, incarnation, event in sorted(timeline, key=lambda entry: (entry[0], entry[1])):
        if event is None or event.what == "leaving":
            leaving_since.setdefault(incarnation, at)
        elif (
            event.what in ("prefill", "decode", "rejected")
            and event.fields.get("why") != "late"
            and incarnation in leaving_since
            and at > leaving_since[incarnation] + 3 * SECOND
        ):
            violations.append(
                f"{event.engine} got {event.fields['request']} {at - leaving_since[incarnation]} after it was leaving"
            )
    return violations


def _calls_contradicting_their_config(*, truth: GroundTruth) -> list[str]:
    """Finds engine calls whose values differ from those their lane has in the configuration that the call names."""
    violations = []
    trees = truth.trees_by_mark()
    for event in truth.engine_calls():
        tree, fields = trees.get(event.fields["mark"]), event.fields
        if tree is None:
            continue
        values = resolve(tree=tree, lane=fields["lane"], site=truth.site_by_edge.get(fields["by"], ""))
        found = {key: fields[key] for key in ("model", "adapter", "run")} | {"service": event.service}
        if values is None or any(values[key] != value for key, value in found.items()):
            violations.append(
                f"{event.engine} got {fields['request']} as {found} under {fields['mark']}, which says {values}"
            )
    return violations


def configurations_are_honoured(*, truth: GroundTruth) -> list[str]:
    """8. A call uses an older configuration more than 2 s after a newer one was acknowledged, or more than 250 ms
    after any engine received a call under a newer one, or has values other than the configuration that it names.
    """
    violations = _calls_contradicting_their_config(truth=truth)
    acked = sorted(
        ((change.ended, change.mark) for change in truth.config_changes if change.status == 200),
        key=lambda acked_change: acked_change[0],
    )
    newest, newest_at = 0, timedelta()
    for event in truth.engine_calls():
        mark = event.fields["mark"]
        due = max((acked_mark for at, acked_mark in acked if event.at > at + 2 * SECOND), default=0)
        if mark < due:
            violations.append(f"{event.engine} got {event.fields['request']} under {mark} at {event.at}; {due} was due")
        if mark > newest:
            newest, newest_at = mark, event.at
        elif mark < newest and event.at > newest_at + ms(250):
            violations.append(
                f"{event.engine} got {mark} at {event.at}, {event.at - newest_at} after {newest} was seen"
            )
    return violations


def configurations_are_kept(*, truth: GroundTruth) -> list[str]:
    """9. An acknowledged configuration is lost, or one takes effect that was refused, invalid or lost a conflict."""
    if truth.kept_configs is None:
        return ["the control plane could not be read at the end"]
    violations = []
    acked = [change for change in truth.config_changes if change.status == 200]
    acked_marks = {change.mark for change in acked}
    undecided_trees = [change.tree for change in truth.config_changes if change.status in (0, 504)]
    kept_trees = {config["mark"]: config["tree"] for config in truth.kept_configs}
    # The oldest that the history must still hold.
    oldest = min(kept_trees) if len(kept_trees) >= CONFIGS_KEPT else 0
    for change in acked:
        if change.mark >= oldest and kept_trees.get(change.mark) != change.tree:
            violations.append(f"acknowledged configuration {change.mark} is not kept")
    for mark, tree in kept_trees.items():
        if mark not in acked_marks and tree not in undecided_trees:
            violations.append(
                f"configuration {mark} is kept, though it was neither acknowledged nor of unknown outcome"
            )
    for mark in sorted(
        {event.fields["mark"] for event in truth.engine_events if event.is_engine_call or event.what == "rejected"}
    ):
        if mark not in acked_marks and mark not in kept_trees and not (undecided_trees and mark < oldest):
            violations.append(f"an engine got a call under mark {mark}, which no accepted configuration has")
    return violations


# Tolerance at both ends of the window between when a daemon counts a call and when the engine does: a call takes up to
# 250 ms to arrive, or the delay of a slowed link, and different calls fall on the window's two ends.
TRANSIT_TOLERANCE = ms(500)


def max_extra_share(*, sends: list[tuple[timedelta, bool]]) -> float:
    """Returns the greatest ratio of extra sends to first sends over the ten seconds up to any extra send.

    `sends` holds (time, whether it is an extra send). First sends within the transit tolerance of either end of the
    window count too.
    """
    share = 0.0
    for at, extra in sends:
        if not extra:
            continue
        extras = sum(1 for other, is_extra in sends if is_extra and at - EXTRA_SEND_WINDOW < other <= at)
        firsts = sum(
            1
            for other, is_extra in sends
            if not is_extra and at - EXTRA_SEND_WINDOW - TRANSIT_TOLERANCE < other <= at + TRANSIT_TOLERANCE
        )
        share = max(share, extras / max(firsts, 1))
    return share


def sends_by_service(*, truth: GroundTruth, repeats: bool) -> dict[str, list[tuple[timedelta, bool]]]:
    """Returns (time, whether it is an extra send) of every engine call, by service.

    A call is an extra send if the same phase of the same request was sent before for the same attempt of the user
    agent; with `repeats`, if it was sent before for any attempt.
    """
    attempt_times: dict[str, list[timedelta]] = defaultdict(list)
    for attempt in truth.attempts:
        attempt_times[f"{attempt.lane}/{attempt.identity}"].append(attempt.intended)
    sent: set[tuple[str, str, int]] = set()
    found: dict[str, list[tuple[timedelta, bool]]] = defaultdict(list)
    for event in truth.engine_calls():
        attempts_so_far = 0 if repeats else sum(1 for at in attempt_times[event.fields["request"]] if at <= event.at)
        key = (event.fields["request"], event.what, attempts_so_far)
        found[event.service].append((event.at, key in sent))
        sent.add(key)
    return found


def extra_sends_are_few(*, truth: GroundTruth) -> list[str]:
    """10. Extra sends to a service exceed the allowed share of its first sends over any ten seconds.

    Allowed is the largest share that any configuration of the run gives to the service. A call caused by a repeat of
    the user agent is no extra send.
    """
    violations = []
    for service, sends in sends_by_service(truth=truth, repeats=False).items():
        trees = [tree for tree in truth.trees_by_mark().values() if service in tree["services"]]
        allowed = max((extra_percent(tree=tree, service=service) for tree in trees), default=0)
        share = max_extra_share(sends=sends)
        if share * 100 > allowed:
            violations.append(
                f"{service}: extra sends were {share:.1%} of the first ones over ten seconds, not {allowed}%"
            )
    return violations


def one_commands_at_a_time(*, truth: GroundTruth) -> list[str]:
    """11. An engine gets orders of two daemons less than 3 s apart."""
    violations = []
    last_order: dict[str, EngineEvent] = {}
    for event in truth.engine_events:
        if event.what != "order":
            continue
        previous = last_order.get(event.engine)
        if previous and previous.fields["by"] != event.fields["by"] and event.at - previous.at < 3 * SECOND:
            violations.append(
                f"{event.engine}: {previous.fields['by']}, then {event.fields['by']} {event.at - previous.at} later"
            )
        last_order[event.engine] = event
    return violations


def recovery_time(*, truth: GroundTruth) -> timedelta:
    """Returns how long after the repair answered requests were last below a quarter of the normal rate.

    The rate is measured over two seconds, every half second.
    """
    answered = sorted(attempt.ended for attempt in truth.attempts if attempt.kind == "answered" and attempt.ended)
    last_low = truth.repaired_at
    at = truth.repaired_at
    while at + RECOVERY_WINDOW <= truth.ended_at:
        count = sum(1 for moment in answered if at <= moment < at + RECOVERY_WINDOW)
        if count < MIN_RECOVERED_SHARE * truth.requests_per_second * RECOVERY_WINDOW.total_seconds():
            last_low = at + RECOVERY_WINDOW
        at += SECOND / 2
    return last_low - truth.repaired_at


def service_returns(*, truth: GroundTruth) -> list[str]:
    """12. Service stays below a quarter of its normal level more than 12 s after the machines return."""
    duration = recovery_time(truth=truth)
    return [f"service was low until {duration} after the machines' return"] if duration > MAX_RECOVERY_TIME else []


def everyone_is_answered(*, truth: GroundTruth) -> list[str]:
    """Beside the twelve rules: a request gets no outcome by its horizon, or a 5xx answer lacks Retry-After.

    A missing outcome is no violation if the edge's process was suspended during the attempt.
    """
    violations = _stream_violations(truth=truth, phrases=("Retry-After",))
    for attempt in truth.attempts:
        suspensions = [
            1
            for edge, since, until in truth.frozen_edges
            if edge == attempt.edge and since < attempt.ended > attempt.intended < until
        ]
        if "no outcome" in " ".join(attempt.violations) and not suspensions:
            violations.append(f"{attempt.lane}/{attempt.identity}: no outcome by the horizon and three seconds")
    return violations


CHECKS: list[Callable[..., list[str]]] = [
    once_runs_once,
    refused_never_runs,
    answers_are_own_and_whole,
    pieces_in_order,
    memory_is_own,
    services_are_allowed,
    leaving_gets_nothing,
    configurations_are_honoured,
    configurations_are_kept,
    extra_sends_are_few,
    one_commands_at_a_time,
    service_returns,
    everyone_is_answered,
]


def run_checks(*, truth: GroundTruth) -> dict[str, list[str]]:
    """Returns the violations by the name of the check, for the checks that found any."""
    found = {checker.__name__: checker(truth=truth) for checker in CHECKS}
    return {name: violations for name, violations in found.items() if violations}


# Planted violations: each check must fail on a history that holds exactly what it looks for.


def _valid_truth() -> GroundTruth:
    tree = {
        "defaults": {"horizonMs": 8000, "urgency": 3, "model": "m", "run": "repeatable"},
        "services": {"s": {}},
        "lanes": {"once": {"service": "s", "run": "once"}, "ask": {"service": "s"}},
    }
    events, attempts = [], []
    for n in range(400):
        at = n * SECOND / 10
        lane = "once" if n % 4 == 0 else "ask"
        request = f"{lane}/r{n}"
        events.append(_engine_call(at=at, what="prefill", request=request))
        events.append(_engine_call(at=at + ms(20), what="decode", request=request, memory_of=request, start=0))
        attempts.append(Attempt(lane=lane, identity=f"r{n}", edge="e", intended=at, kind="answered", ended=at + ms(50)))
    return GroundTruth(
        attempts=attempts,
        engine_events=events,
        config_changes=[ConfigChange(sent=timedelta(), ended=timedelta(), tree=tree, status=200, mark=1)],
        leave_notices=[],
        site_by_edge={"d": "a"},
        requests_per_second=10,
        repaired_at=20 * SECOND,
        ended_at=40 * SECOND,
        kept_configs=[{"mark": 1, "tree": tree}],
    )


def _event(*, at: timedelta, what: str, engine: str = "e", service: str = "s", **fields: object) -> EngineEvent:
    return EngineEvent(at=at, engine=engine, incarnation=engine + "-1", service=service, what=what, fields=fields)


def _engine_call(*, at: timedelta, what: str, request: str, mark: int = 1, **fields: object) -> EngineEvent:
    lane = request.partition("/")[0]
    common = {"request": request, "lane": lane, "mark": mark, "model": "m", "adapter": None, "by": "d"}
    run = "once" if lane == "once" else "repeatable"
    return _event(at=at, what=what, **(common | {"run": run} | fields))


def _plant_violation(*, truth: GroundTruth, name: str) -> None:
    end = truth.engine_events[-1].at
    match name:
        case "once_runs_once":
            truth.engine_events.append(_engine_call(at=end, what="prefill", request="once/r0"))
        case "refused_never_runs":
            truth.attempts[5].kind = "busy"
        case "answers_are_own_and_whole":
            truth.attempts[0].violations.append("piece 3 is not of this answer")
        case "pieces_in_order":
            truth.attempts[0].violations.append("piece 3 where 2 was due")
        case "memory_is_own":
            truth.engine_events.append(
                _engine_call(at=end, what="decode", request="ask/r2", memory_of="ask/r1", start=0)
            )
        case "services_are_allowed":
            truth.engine_events.append(_event(at=end, what="rejected", service="other", request="ask/r1", mark=1))
        case "leaving_gets_nothing":
            truth.leave_notices.append((10 * SECOND, "e-1"))
        case "configurations_are_honoured":
            tree = truth.config_changes[0].tree
            truth.config_changes.append(ConfigChange(sent=SECOND, ended=SECOND, tree=tree, status=200, mark=2))
            truth.kept_configs.append({"mark": 2, "tree": tree})
        case "configurations_are_kept":
            truth.kept_configs.clear()
        case "extra_sends_are_few":
            for n in range(1, 200, 2):
                truth.engine_events.append(_engine_call(at=end + n * ms(1), what="prefill", request=f"ask/r{n}"))
        case "one_commands_at_a_time":
            truth.engine_events.append(_event(at=end, what="order", by="a"))
            truth.engine_events.append(_event(at=end + 2 * SECOND, what="order", by="b"))
        case "service_returns":
            truth.attempts[:] = [attempt for attempt in truth.attempts if not 20 * SECOND < attempt.ended < 34 * SECOND]
        case "everyone_is_answered":
            truth.attempts[0].violations.append("no outcome by the horizon and three seconds")
        case _:
            raise AssertionError(name)


def test_each_check_passes_a_valid_history_and_fails_on_its_planted_violation():
    assert run_checks(truth=_valid_truth()) == {}
    for checker in CHECKS:
        truth = _valid_truth()
        _plant_violation(truth=truth, name=checker.__name__)
        assert list(run_checks(truth=truth)) == [checker.__name__]


def _failed_checks(**planted: object) -> list[str]:
    """Returns the checks that fail on a valid history with these events, changes, configurations or attempts added."""
    truth = _valid_truth()
    truth.engine_events += planted.get("events", [])
    truth.config_changes += planted.get("changes", [])
    truth.kept_configs += planted.get("kept", [])
    truth.attempts += planted.get("attempts", [])
    truth.frozen_edges += planted.get("frozen", [])
    return list(run_checks(truth=truth))


def test_narrower_violations_are_found():
    end = _valid_truth().engine_events[-1].at
    tree = _valid_truth().config_changes[0].tree
    other = {**tree, "defaults": {**tree["defaults"], "model": "n"}}

    def change(*, status: int, mark: int = 0, tree: dict = other) -> ConfigChange:
        return ConfigChange(sent=end, ended=end, tree=tree, status=status, mark=mark)

    def call(*, after: timedelta = SECOND, **fields: object) -> EngineEvent:
        return _engine_call(at=end + after, what="prefill", **({"request": "ask/x"} | fields))

    newer = [call(mark=2, model="n"), call(after=SECOND + ms(300), request="ask/y", mark=1)]
    # A return to an older mark.
    assert _failed_checks(events=newer, changes=[change(status=200, mark=2)], kept=[{"mark": 2, "tree": other}]) == [
        "configurations_are_honoured"
    ]
    # Each of the four values, other than the configuration named in the call gives it.
    for contradicting in ({"model": "n"}, {"adapter": "a"}, {"run": "resumable"}, {"service": "t"}):
        assert "configurations_are_honoured" in _failed_checks(events=[call(**contradicting)])
    # A run that continues from another run's pieces on a lane that is not resumable.
    spliced = _engine_call(at=end, what="decode", request="ask/r2", memory_of="ask/r2", start=3)
    assert "answers_are_own_and_whole" in _failed_checks(events=[spliced])
    # A configuration that was refused, or that nobody sent, is kept or named in an engine call.
    for status in (412, 422, 503, 507):
        assert _failed_checks(changes=[change(status=status)], kept=[{"mark": 2, "tree": other}]) == [
            "configurations_are_kept"
        ]
    assert _failed_checks(events=[call(mark=9)]) == ["configurations_are_kept"]
    assert _failed_checks(changes=[change(status=0)], kept=[{"mark": 2, "tree": other}]) == []
    # The history holds the latest twenty: each of those must be there, older ones need not.
    many = [change(status=200, mark=mark) for mark in range(2, 30)]
    kept = [{"mark": mark, "tree": other} for mark in range(10, 30)]
    truth = _valid_truth()
    truth.config_changes += many
    for dropped in (0, 1):
        truth.kept_configs = kept[:5] + kept[5 + dropped :] + [{"mark": 9, "tree": other}] * dropped
        assert configurations_are_kept(truth=truth) == ["acknowledged configuration 15 is not kept"] * dropped
    # Two acknowledged under one mark: one of them is lost.
    twice = [change(status=200, mark=2), change(status=200, mark=2, tree={**other, "sites": {}})]
    assert _failed_checks(changes=twice, kept=[{"mark": 2, "tree": twice[1].tree}]) == ["configurations_are_kept"]
    # A repeat is refused although an earlier attempt ran.
    repeat = Attempt(lane="ask", identity="r5", edge="e", intended=end, kind="busy", ended=end, number=2)
    assert _failed_checks(attempts=[repeat]) == ["refused_never_runs"]
    # A missing outcome is found, but not if the edge itself was suspended meanwhile.
    silent = Attempt(
        lane="ask", identity="x", edge="e", intended=end, ended=end + 9 * SECOND, violations=["no outcome by then"]
    )
    assert _failed_checks(attempts=[silent]) == ["everyone_is_answered"]
    assert _failed_checks(attempts=[silent], frozen=[("e", end + SECOND, end + 8 * SECOND)]) == []
    assert _failed_checks(attempts=[silent], frozen=[("f", end, end + 8 * SECOND)]) == ["everyone_is_answered"]
    # A request runs after its refusal.
    refused = Attempt(lane="ask", identity="x", edge="e", intended=end, kind="busy", ended=end)
    assert _failed_checks(attempts=[refused], events=[call()]) == ["refused_never_runs"]


def test_an_extra_send_above_the_share_by_one_is_found():
    firsts = [(n * SECOND / 10, False) for n in range(200)]
    sends = sorted([*firsts, *((10 * SECOND + n * ms(1), True) for n in range(10))])
    assert max_extra_share(sends=sends) <= 0.1
    sends = sorted([*firsts, *((10 * SECOND + n * ms(1), True) for n in range(12))])
    assert max_extra_share(sends=sends) > 0.1
