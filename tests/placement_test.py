"""Where prompts are read and answers written, and the work that lies at engines."""

from collections import Counter

import pytest

from dockmux.platform_proxy.load_tracker import LoadTracker
from dockmux.platform_proxy.placement import PARTS_KEPT, Placement, order, shared_key
from dockmux.platform_proxy.protocol_adapter import EngineEntry, PrefixBlock, RequestMetadata
from dockmux.runtime.time_units import ZERO, ms
from tests.standins.manual_clock_host import ManualClockHost


def _engine(*, name: str, phase: str = "prefill", zone: str = "hill") -> EngineEntry:
    return EngineEntry(
        engine=name, service="s", address="10.0.0.1:1", zone=zone, phase=phase, slots=64, leaving=False
    )  # fmt: skip


READERS = [_engine(name=f"p{place}") for place in range(5)]
WRITERS = [_engine(name=f"d{place}", phase="decode") for place in range(4)]


def _ask(*, shared: str, own: str = "own", shared_tokens: int = 6000, own_tokens: int = 6000) -> RequestMetadata:
    prefix_blocks = (PrefixBlock(name=shared, tokens=shared_tokens), PrefixBlock(name=own, tokens=own_tokens))
    return RequestMetadata(
        request_id="r", deadline=None, model="m", tokens_in=shared_tokens + own_tokens, tokens_out=20,
        prefix_blocks=prefix_blocks, last_event=None,
    )  # fmt: skip


def _placement(*, seed: int = 1) -> Placement:
    host = ManualClockHost(seed=seed)
    return Placement(host=host, zone="hill", load_tracker=LoadTracker(host=host))


def _reader(*, placement: Placement, shared: str, engines: list[EngineEntry]) -> str:
    pairing = placement.choose(service="s", metadata=_ask(shared=shared), engines=engines, avoid=set())
    assert pairing is not None and pairing.reader is not None
    return pairing.reader.engine


def test_daemons_agree_where_a_shared_beginning_is_read():
    one, two = _placement(seed=1), _placement(seed=2)
    homes = [_reader(placement=one, shared=f"b{place}", engines=READERS + WRITERS) for place in range(200)]
    again = [_reader(placement=two, shared=f"b{place}", engines=WRITERS + READERS[::-1]) for place in range(200)]
    assert homes == again
    assert min(Counter(homes).values()) > 20 and len(set(homes)) == 5


def test_when_an_engine_comes_or_goes_only_its_own_share_moves():
    keys = [f"b{place}" for place in range(300)]
    before = {key: order(key=key, engines=READERS)[0].engine for key in keys}
    more = {key: order(key=key, engines=[*READERS, _engine(name="p9")])[0].engine for key in keys}
    assert {after for key, after in more.items() if after != before[key]} == {"p9"}
    assert 20 < sum(more[key] != before[key] for key in keys) < 90
    fewer = {key: order(key=key, engines=READERS[1:])[0].engine for key in keys}
    assert {before[key] for key in keys if fewer[key] != before[key]} == {"p0"}


def test_when_the_home_is_pressed_a_prompt_is_read_elsewhere():
    placement = _placement()
    home = _reader(placement=placement, shared="b", engines=READERS + WRITERS)
    placement.load_tracker.hear(daemon="other", works={home: [20, 1]})
    assert _reader(placement=placement, shared="b", engines=READERS + WRITERS) == home
    placement.load_tracker.hear(daemon="other", works={home: [2000, 5]})
    assert _reader(placement=placement, shared="b", engines=READERS + WRITERS) != home
    # Word of the press lapses.
    placement.host.advance_ms(3100)
    assert _reader(placement=placement, shared="b", engines=READERS + WRITERS) == home


def test_engines_to_avoid_are_avoided_while_there_are_others():
    placement = _placement()
    metadata = _ask(shared="b")
    home = _reader(placement=placement, shared="b", engines=READERS + WRITERS)
    for _ in range(20):
        pairing = placement.choose(
            service="s", metadata=metadata, engines=READERS + WRITERS, avoid={home, "d0", "d1", "d2"}
        )
        assert pairing.reader.engine != home and pairing.writer.engine == "d3"
    pairing = placement.choose(
        service="s", metadata=metadata, engines=READERS + WRITERS, avoid={engine.engine for engine in WRITERS}
    )
    assert pairing.writer.engine.startswith("d")
    assert placement.choose(service="s", metadata=metadata, engines=READERS, avoid=set()) is None
    assert placement.choose(service="s", metadata=metadata, engines=[], avoid=set()) is None


def test_without_reading_engines_the_writer_reads_and_what_is_short_is_read_there_too():
    placement = _placement()
    pairing = placement.choose(service="s", metadata=_ask(shared="b"), engines=WRITERS, avoid=set())
    assert pairing.reader is None and pairing.writer_span > ZERO
    short = _ask(shared="b", shared_tokens=100, own_tokens=20)
    pairing = placement.choose(service="s", metadata=short, engines=READERS + WRITERS, avoid=set())
    assert pairing.reader is None


def test_writing_goes_to_the_least_loaded_near():
    placement = _placement()
    far = [_engine(name="far", phase="decode", zone="lake")]
    names = {
        placement.writer(metadata=_ask(shared="b"), writers=[*far, WRITERS[0]], near="hill").engine for _ in range(20)
    }
    assert names == {"d0"}
    placement.load_tracker.hear(daemon="other", works={"d0": [0, 40]})
    assert placement.writer(metadata=_ask(shared="b"), writers=[*far, WRITERS[0]], near="hill").engine == "far"


def test_parts_that_were_read_are_known_from_the_first_on():
    placement = _placement()
    metadata = _ask(shared="b", shared_tokens=1000, own_tokens=200)
    engine = READERS[0]
    assert placement.unread(engine=engine, metadata=metadata, home=False) == 1200
    assert placement.unread(engine=engine, metadata=metadata, home=True) == 200
    placement.note_read(service="s", engine="p0", prefix_blocks=metadata.prefix_blocks[1:])
    assert placement.unread(engine=engine, metadata=metadata, home=False) == 1200
    placement.note_read(service="s", engine="p0", prefix_blocks=metadata.prefix_blocks)
    assert placement.unread(engine=engine, metadata=metadata, home=False) == 1
    assert placement.unread(engine=READERS[1], metadata=metadata, home=False) == 1200
    for place in range(PARTS_KEPT):
        placement.note_read(service="s", engine="p1", prefix_blocks=(PrefixBlock(name=str(place), tokens=1),))
    assert placement.unread(engine=engine, metadata=metadata, home=False) == 1200


def test_the_pace_follows_what_is_seen_within_bounds():
    placement = _placement()
    guess = placement.span(service="s", tokens=4000)
    for _ in range(100):
        placement.note_pace(service="s", tokens=4000, span=ms(205))
    assert abs(placement.pace["s"] - 20) < 1 and placement.span(service="s", tokens=4000) > guess
    before = dict(placement.pace)
    placement.note_pace(service="s", tokens=50, span=ms(1000))
    placement.note_pace(service="s", tokens=4000, span=ZERO)
    assert placement.pace == before


def test_what_is_shared_is_all_but_the_last_part():
    assert shared_key(prefix_blocks=()) == "" and shared_key(prefix_blocks=(PrefixBlock(name="own", tokens=1),)) == ""
    assert (
        shared_key(
            prefix_blocks=(
                PrefixBlock(name="a", tokens=1),
                PrefixBlock(name="b", tokens=1),
                PrefixBlock(name="own", tokens=1),
            )
        )
        == "a>b"
    )


# Work.


def test_own_work_adds_up_until_it_has_come():
    host = ManualClockHost()
    load_tracker = LoadTracker(host=host)
    with load_tracker.streaming(engine="e"), load_tracker.reading(engine="e", span=ms(100)):
        with load_tracker.reading(engine="e", span=ms(50)):
            assert load_tracker.backlog(engine="e") == ms(150) and load_tracker.streams(engine="e") == 1
            assert load_tracker.summary() == {"e": [150, 1]}
            host.advance_ms(500)
            assert load_tracker.backlog(engine="e") == ms(150)
        assert load_tracker.backlog(engine="e") == ms(100) and load_tracker.summary() == {"e": [100, 1]}
    assert load_tracker.backlog(engine="e") == ZERO and load_tracker.streams(engine="e") == 0
    assert load_tracker.summary() == {} and load_tracker.own == {}


def test_work_is_given_back_when_the_call_fails():
    load_tracker = LoadTracker(host=ManualClockHost())
    with pytest.raises(OSError), load_tracker.reading(engine="e", span=ms(100)), load_tracker.streaming(engine="e"):
        raise OSError("broken")
    assert load_tracker.summary() == {} and load_tracker.own == {}


def test_the_others_work_is_as_they_last_told_and_lapses():
    host = ManualClockHost()
    load_tracker = LoadTracker(host=host)
    load_tracker.hear(daemon="a", works={"e": [300, 2]})
    load_tracker.hear(daemon="b", works={"e": [100, 1], "f": [10, 0]})
    assert load_tracker.backlog(engine="e") == ms(400) and load_tracker.streams(engine="e") == 3
    load_tracker.hear(daemon="b", works={})
    host.advance_ms(100)
    assert ms(200) <= load_tracker.backlog(engine="e") < ms(300) and load_tracker.streams(engine="e") == 2
    load_tracker.forget(live={"b"})
    assert load_tracker.backlog(engine="e") == ZERO and load_tracker.streams(engine="e") == 0
    load_tracker.hear(daemon="a", works={"e": [9000, 2]})
    host.advance_ms(3001)
    assert load_tracker.backlog(engine="e") == ZERO and load_tracker.streams(engine="e") == 0
