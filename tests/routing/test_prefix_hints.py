"""Prefix hints decay, and gaps in the cache events lower confidence."""

from __future__ import annotations

from jujubewharf import clock as clocks
from jujubewharf.engines import client
from jujubewharf.experiments import virtual_time
from jujubewharf.routing import prefix_hints

_HASHES = tuple(range(100, 110))


def _run(scenario):
    async def run_scenario():
        clock = clocks.Clock()
        return await scenario(prefix_hints.PrefixHints(clock), clock)

    return virtual_time.run(run_scenario())


def _events(sequences):
    return [
        client.CacheEvent(sequence, 99 + sequence, is_stored=True)
        for sequence in sequences
    ]


def test_hint_of_sent_prompt_decays():
    async def scenario(hints, clock):
        hints.record_prompt("p1", _HASHES)
        fresh = hints.saved_tokens("p1", _HASHES)
        await clock.sleep_ms(60_000)
        return fresh, hints.saved_tokens("p1", _HASHES)

    fresh, old = _run(scenario)
    assert fresh == 640
    assert 0 < old < fresh / 4


def test_eviction_removes_hint():
    async def scenario(hints, clock):
        hints.apply_events("p1", _events([1, 2, 3]))
        gone = client.CacheEvent(4, 101, is_stored=False)
        hints.apply_events(
            "p1", [gone, client.CacheEvent(5, 102, is_stored=False)]
        )
        return hints.saved_tokens("p1", _HASHES)

    assert _run(scenario) == 64


def test_gaps_lower_confidence():
    async def scenario(hints, clock):
        hints.apply_events("p1", _events(range(1, 11)))
        hints.apply_events("p2", _events([1, 2, 3, 5, 6, 7, 8, 9, 10]))
        return [hints.saved_tokens(name, _HASHES) for name in ("p1", "p2")]

    complete, with_gaps = _run(scenario)
    assert 0 < with_gaps < complete


def test_number_of_hints_is_bounded():
    async def scenario(hints, clock):
        hints.record_prompt("p1", range(10_000))
        return hints.saved_tokens("p1", [0, 1]), hints.saved_tokens(
            "p1", [9_999]
        )

    assert _run(scenario) == (0, 64)
