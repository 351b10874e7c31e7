"""Choice of the prefill and decode engines, and the load that it is based on."""

from collections import Counter

import pytest

from dockmux.platform_proxy.load_tracker import LoadTracker
from dockmux.platform_proxy.placement import MAX_CACHED_BLOCKS, Placement, rendezvous_order, shared_prefix_key
from dockmux.platform_proxy.protocol_adapter import EngineEntry, PrefixBlock, RequestMetadata
from dockmux.runtime.time_units import ZERO, ms
from tests.standins.still import StillHost


def _engine(*, name: str, phase: str = "prefill", zone: str = "hill") -> EngineEntry:
    return EngineEntry(
        engine=name, service="s", address="10.0.0.1:1", zone=zone, phase=phase, slots=64, leaving=False
    )  # fmt: skip


PREFILL_ENGINES = [_engine(name=f"p{place}") for place in range(5)]
DECODE_ENGINES = [_engine(name=f"d{place}", phase="decode") for place in range(4)]


def _metadata(*, shared: str, own: str = "own", shared_tokens: int = 6000, own_tokens: int = 6000) -> RequestMetadata:
    prefix_blocks = (PrefixBlock(name=shared, tokens=shared_tokens), PrefixBlock(name=own, tokens=own_tokens))
    return RequestMetadata(
        request_id="r", deadline=None, model="m", tokens_in=shared_tokens + own_tokens, tokens_out=20,
        prefix_blocks=prefix_blocks, last_event=None,
    )  # fmt: skip


def _placement(*, seed: int = 1) -> Placement:
    host = StillHost(seed=seed)
    return Placement(host=host, zone="hill", load_tracker=LoadTracker(host=host))


def _prefill_engine(*, placement: Placement, shared: str, engines: list[EngineEntry]) -> str:
    pairing = placement.choose(service="s", metadata=_metadata(shared=shared), engines=engines, avoid=set())
    assert pairing is not None and pairing.prefill_engine is not None
    return pairing.prefill_engine.engine


def test_daemons_agree_on_the_engine_that_prefills_a_shared_prefix():
    one, two = _placement(seed=1), _placement(seed=2)
    homes = [
        _prefill_engine(placement=one, shared=f"b{place}", engines=PREFILL_ENGINES + DECODE_ENGINES)
        for place in range(200)
    ]
    again = [
        _prefill_engine(placement=two, shared=f"b{place}", engines=DECODE_ENGINES + PREFILL_ENGINES[::-1])
        for place in range(200)
    ]
    assert homes == again
    assert min(Counter(homes).values()) > 20 and len(set(homes)) == 5


def test_adding_or_removing_an_engine_remaps_only_its_own_share():
    keys = [f"b{place}" for place in range(300)]
    before = {key: rendezvous_order(key=key, engines=PREFILL_ENGINES)[0].engine for key in keys}
    more = {key: rendezvous_order(key=key, engines=[*PREFILL_ENGINES, _engine(name="p9")])[0].engine for key in keys}
    assert {after for key, after in more.items() if after != before[key]} == {"p9"}
    assert 20 < sum(more[key] != before[key] for key in keys) < 90
    fewer = {key: rendezvous_order(key=key, engines=PREFILL_ENGINES[1:])[0].engine for key in keys}
    assert {before[key] for key in keys if fewer[key] != before[key]} == {"p0"}


def test_a_prompt_is_prefilled_elsewhere_while_its_home_engine_is_overloaded():
    placement = _placement()
    home = _prefill_engine(placement=placement, shared="b", engines=PREFILL_ENGINES + DECODE_ENGINES)
    placement.load_tracker.update_peer(daemon="other", works={home: [20, 1]})
    assert _prefill_engine(placement=placement, shared="b", engines=PREFILL_ENGINES + DECODE_ENGINES) == home
    placement.load_tracker.update_peer(daemon="other", works={home: [2000, 5]})
    assert _prefill_engine(placement=placement, shared="b", engines=PREFILL_ENGINES + DECODE_ENGINES) != home
    # The report of the overload expires.
    placement.host.pass_ms(3100)
    assert _prefill_engine(placement=placement, shared="b", engines=PREFILL_ENGINES + DECODE_ENGINES) == home


def test_engines_to_avoid_are_avoided_while_there_are_others():
    placement = _placement()
    metadata = _metadata(shared="b")
    home = _prefill_engine(placement=placement, shared="b", engines=PREFILL_ENGINES + DECODE_ENGINES)
    for _ in range(20):
        pairing = placement.choose(
            service="s", metadata=metadata, engines=PREFILL_ENGINES + DECODE_ENGINES, avoid={home, "d0", "d1", "d2"}
        )
        assert pairing.prefill_engine.engine != home and pairing.decode_engine.engine == "d3"
    pairing = placement.choose(
        service="s",
        metadata=metadata,
        engines=PREFILL_ENGINES + DECODE_ENGINES,
        avoid={engine.engine for engine in DECODE_ENGINES},
    )
    assert pairing.decode_engine.engine.startswith("d")
    assert placement.choose(service="s", metadata=metadata, engines=PREFILL_ENGINES, avoid=set()) is None
    assert placement.choose(service="s", metadata=metadata, engines=[], avoid=set()) is None


def test_the_decode_engine_prefills_short_prompts_and_all_prompts_without_prefill_engines():
    placement = _placement()
    pairing = placement.choose(service="s", metadata=_metadata(shared="b"), engines=DECODE_ENGINES, avoid=set())
    assert pairing.prefill_engine is None and pairing.local_prefill_time > ZERO
    short = _metadata(shared="b", shared_tokens=100, own_tokens=20)
    pairing = placement.choose(service="s", metadata=short, engines=PREFILL_ENGINES + DECODE_ENGINES, avoid=set())
    assert pairing.prefill_engine is None


def test_decoding_goes_to_the_least_loaded_engine_nearby():
    placement = _placement()
    far = [_engine(name="far", phase="decode", zone="lake")]
    names = {
        placement.choose_decode_engine(
            metadata=_metadata(shared="b"), decode_engines=[*far, DECODE_ENGINES[0]], near_zone="hill"
        ).engine
        for _ in range(20)
    }
    assert names == {"d0"}
    placement.load_tracker.update_peer(daemon="other", works={"d0": [0, 40]})
    assert (
        placement.choose_decode_engine(
            metadata=_metadata(shared="b"), decode_engines=[*far, DECODE_ENGINES[0]], near_zone="hill"
        ).engine
        == "far"
    )


def test_blocks_count_as_cached_only_from_the_first_block_on():
    placement = _placement()
    metadata = _metadata(shared="b", shared_tokens=1000, own_tokens=200)
    engine = PREFILL_ENGINES[0]
    assert placement.uncached_tokens(engine=engine, metadata=metadata, is_home=False) == 1200
    assert placement.uncached_tokens(engine=engine, metadata=metadata, is_home=True) == 200
    placement.note_prefill(service="s", engine="p0", prefix_blocks=metadata.prefix_blocks[1:])
    assert placement.uncached_tokens(engine=engine, metadata=metadata, is_home=False) == 1200
    placement.note_prefill(service="s", engine="p0", prefix_blocks=metadata.prefix_blocks)
    assert placement.uncached_tokens(engine=engine, metadata=metadata, is_home=False) == 1
    assert placement.uncached_tokens(engine=PREFILL_ENGINES[1], metadata=metadata, is_home=False) == 1200
    for place in range(MAX_CACHED_BLOCKS):
        placement.note_prefill(service="s", engine="p1", prefix_blocks=(PrefixBlock(name=str(place), tokens=1),))
    assert placement.uncached_tokens(engine=engine, metadata=metadata, is_home=False) == 1200


def test_the_prefill_rate_follows_measurements_within_bounds():
    placement = _placement()
    initial = placement.prefill_time(service="s", tokens=4000)
    for _ in range(100):
        placement.note_prefill_rate(service="s", tokens=4000, span=ms(205))
    assert abs(placement.prefill_rates["s"] - 20) < 1 and placement.prefill_time(service="s", tokens=4000) > initial
    before = dict(placement.prefill_rates)
    placement.note_prefill_rate(service="s", tokens=50, span=ms(1000))
    placement.note_prefill_rate(service="s", tokens=4000, span=ZERO)
    assert placement.prefill_rates == before


def test_the_shared_prefix_is_all_but_the_last_block():
    assert (
        shared_prefix_key(prefix_blocks=()) == ""
        and shared_prefix_key(prefix_blocks=(PrefixBlock(name="own", tokens=1),)) == ""
    )
    assert (
        shared_prefix_key(
            prefix_blocks=(
                PrefixBlock(name="a", tokens=1),
                PrefixBlock(name="b", tokens=1),
                PrefixBlock(name="own", tokens=1),
            )
        )
        == "a>b"
    )


# Load.


def test_local_load_adds_up_until_it_ends():
    host = StillHost()
    load_tracker = LoadTracker(host=host)
    with load_tracker.streaming(engine="e"), load_tracker.prefilling(engine="e", span=ms(100)):
        with load_tracker.prefilling(engine="e", span=ms(50)):
            assert load_tracker.backlog(engine="e") == ms(150) and load_tracker.streams(engine="e") == 1
            assert load_tracker.summary() == {"e": [150, 1]}
            host.pass_ms(500)
            assert load_tracker.backlog(engine="e") == ms(150)
        assert load_tracker.backlog(engine="e") == ms(100) and load_tracker.summary() == {"e": [100, 1]}
    assert load_tracker.backlog(engine="e") == ZERO and load_tracker.streams(engine="e") == 0
    assert load_tracker.summary() == {} and load_tracker.local_loads == {}


def test_load_is_released_when_the_call_fails():
    load_tracker = LoadTracker(host=StillHost())
    with pytest.raises(OSError), load_tracker.prefilling(engine="e", span=ms(100)), load_tracker.streaming(engine="e"):
        raise OSError("broken")
    assert load_tracker.summary() == {} and load_tracker.local_loads == {}


def test_peer_load_is_as_last_reported_and_expires():
    host = StillHost()
    load_tracker = LoadTracker(host=host)
    load_tracker.update_peer(daemon="a", works={"e": [300, 2]})
    load_tracker.update_peer(daemon="b", works={"e": [100, 1], "f": [10, 0]})
    assert load_tracker.backlog(engine="e") == ms(400) and load_tracker.streams(engine="e") == 3
    load_tracker.update_peer(daemon="b", works={})
    host.pass_ms(100)
    assert ms(200) <= load_tracker.backlog(engine="e") < ms(300) and load_tracker.streams(engine="e") == 2
    load_tracker.forget(live={"b"})
    assert load_tracker.backlog(engine="e") == ZERO and load_tracker.streams(engine="e") == 0
    load_tracker.update_peer(daemon="a", works={"e": [9000, 2]})
    host.pass_ms(3001)
    assert load_tracker.backlog(engine="e") == ZERO and load_tracker.streams(engine="e") == 0
