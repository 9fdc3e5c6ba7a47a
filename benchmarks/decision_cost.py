"""Processor time of a placement decision by number of engines.

Run: ``python -m benchmarks.decision_cost``. A decision covers everything that
an instance and the slot coordinators compute for a request: choice of engines,
grant, prefill announcement, decode slot and release. Messages are delivered in
process; ``overhead`` includes their encoding.
"""

from __future__ import annotations

import asyncio
import random
import time
from typing import Any
from typing import cast

import numpy as np

from jujubewharf import clock as clocks
from jujubewharf.configuration import records
from jujubewharf.configuration import resource_codec
from jujubewharf.configuration import resources
from jujubewharf.configuration import state as states
from jujubewharf.engines import client
from jujubewharf.membership import view as membership
from jujubewharf.platform import log
from jujubewharf.routing import default_policy
from jujubewharf.routing import fleet as fleets
from jujubewharf.routing import jobs
from jujubewharf.routing import policy as policies
from jujubewharf.routing import slot_coordinator

_ENGINES_IN_VIEW = (10, 100, 400)
_DECISIONS = 400
_SERVICE = resources.Service("verdict-llm", resources.ServiceKind.MODEL)
_US_PER_S = 1e6


class _SingleInstance:
    """Peers and membership of an instance that coordinates all engines."""

    instance = "e1"
    local_member = membership.Member("e1", "127.0.0.1:1", "a")

    def __init__(self) -> None:
        self._handlers: dict[type, Any] = {}

    async def ask(self, peer: str, message: Any, *, timeout_ms: float) -> Any:
        return await self._handlers[type(message)](peer, message)

    def tell(self, peer: str, message: Any) -> bool:
        asyncio.ensure_future(self._handlers[type(message)](peer, message))
        return True

    def handle(self, message_type: type, handler: Any) -> None:
        self._handlers[message_type] = handler

    def listen(self, listener: Any) -> None:
        return

    def present(self) -> tuple[membership.Member, ...]:
        return (self.local_member,)


def _fleet(count: int, clock: clocks.Clock) -> fleets.Fleet:
    state = states.State()
    for offset in range(count):
        role = resources.Role.DECODE if offset % 3 else resources.Role.PREFILL
        endpoint = resources.Endpoint(
            f"engine-{offset}",
            _SERVICE.name,
            f"127.0.0.1:{offset + 1}",
            "abcd"[offset % 4],
            role,
        )
        change = records.Change(
            operation_id=f"put-{offset}",
            actor="benchmark",
            verb=records.Verb.PUT,
            kind=resources.Kind.ENDPOINT.value,
            name=endpoint.name,
            expected_generation=None,
            body=resource_codec.dump(endpoint),
        )
        state.apply(log.LogRecord(offset, records.encode(change)))
    fleet = fleets.Fleet(lambda _: cast(client.EngineClient, None), clock)
    fleet.on_configuration(state)
    rng = np.random.default_rng(1)
    for view in fleet.all_views():
        view.report = client.LoadReport(
            0.0, 20, int(rng.integers(0, 18)), 0, 0, 30.0
        )
        view.report_received_ms = clock.now_ms()
    return fleet


async def _decision_us(count: int) -> float:
    clock = clocks.Clock()
    fleet = _fleet(count, clock)
    peers = cast(Any, _SingleInstance())
    slot_coordinator.SlotCoordinator(fleet, peers, peers, clock)
    policy = default_policy.DefaultPolicy(clock, random.Random(1))
    policy.attach(policies.PolicyContext(fleet, peers, peers, "a"))
    began_s = time.process_time()
    for _ in range(_DECISIONS):
        now_ms = clock.now_ms()
        job = jobs.Job(
            _SERVICE,
            30,
            500,
            (),
            now_ms,
            now_ms + 2e3,
            now_ms + 3e4,
            now_ms + 6e4,
        )
        assert isinstance(await policy.wait_for_placement(job), jobs.Choice)
        assert isinstance(await policy.wait_for_decode(job), jobs.Choice)
        policy.release(job, is_prefilled=True)
        await asyncio.sleep(0)
    return (time.process_time() - began_s) / _DECISIONS * _US_PER_S


def main() -> None:
    """Prints one line per number of engines."""
    for count in _ENGINES_IN_VIEW:
        print(f"{count:4d} engines: {asyncio.run(_decision_us(count)):7.0f} us")


if __name__ == "__main__":
    main()
