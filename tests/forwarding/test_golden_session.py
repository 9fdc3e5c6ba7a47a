"""The log of a whole session matches a golden file.

Covers a served stream, a resumed stream, a lost answer, a refusal for lack of
memory, a draining engine and a configuration change.
"""

from __future__ import annotations

import dataclasses
import json

import structlog

from jujubewharf.telemetry import request_lines
from tests.forwarding import deployments

_NOT_SHOWN = ("log_level",)


async def _session(world: deployments.Deployment) -> None:
    await world.ask("/verdicts/1", request_id="handed-over")
    first = world.backends.by_name["d1"]
    first.breaks_after = 2
    await world.ask("/verdicts/2", request_id="goes-on-elsewhere")
    first.breaks_after = None
    tills = [world.backends.by_name[name] for name in ("s1", "s2")]
    tills[0].loses_answers = True
    await world.ask("/lookup/1", request_id="asked-again")
    tills[1].loses_answers = True
    await world.ask("/sale/1", request_id="unknown-outcome")
    for till in tills:
        till.loses_answers = False
    for backend in world.backends.by_name.values():
        backend.memory_tokens = 100
    await world.ask("/verdicts/3", request_id="come-back-later")
    world.register(first, drained=True)
    moved = dataclasses.replace(deployments.SALE, path_prefix="/moved/")
    world.configurations.put("config", deployments.configuration(2, moved))
    await world.clock.sleep_ms(1_000.0)
    await world.ask("/sale/2", request_id="gone-route")
    await world.ask("/moved/1", request_id="new-route")


def _lines(lines) -> str:
    shown = []
    for line in lines:
        fields = {k: v for k, v in line.items() if k not in _NOT_SHOWN}
        shown.append(json.dumps(fields, sort_keys=True))
    return "\n".join(shown)


def test_a_session(snapshot, monkeypatch):
    monkeypatch.setattr(request_lines, "SAMPLE_ONE_IN", 1)

    async def main():
        async with deployments.deployed(
            deployments.prefill_engine("p1"),
            deployments.decode_engine("d1"),
            deployments.decode_engine("d2", "b"),
            deployments.plain_endpoint("s1"),
            deployments.plain_endpoint("s2", "b"),
        ) as world:
            await _session(world)

    with structlog.testing.capture_logs() as lines:
        deployments.run(main())
    assert _lines(lines) == snapshot
