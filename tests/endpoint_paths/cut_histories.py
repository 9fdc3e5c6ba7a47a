"""Seeded histories of partitions between instances and endpoints.

Beside them endpoints crash, drain and stall, and the leader is restarted. The
answers of some endpoints have no length and end with their connection.

    .venv/bin/python -m tests.endpoint_paths.cut_histories 200

plays the seeds from 0 on and prints those that break a rule.
"""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import random
import sys

import structlog

from jujubewharf import errors
from jujubewharf.configuration import resources
from jujubewharf.standins import backend_state
from jujubewharf.standins import endpoint_cuts
from tests.endpoint_paths import cut_offs
from tests.forwarding import deployments

NAMES = ("e0", "e1", "e2", "e3", "e4", "e5")
LENGTH_MS = 24_000.0
EVERY_MS = 120.0
# The users' bound: first tries at partitioned instances are served two thirds
# as often as at the others, or few of all fail there.
SERVED_SHARE = 2.0 / 3.0
FAILED_COUNT = 10
FAILED_SHARE = 1.0 / 50.0
# Until calls, reservations and reported runs have ended.
ENDED_MS = 9_000.0
EVENTS = 5
# Share of the endpoints whose answers have no length.
UNFRAMED_SHARE = 0.5
# Crashed endpoints come back after this.
RESTART_MS = 1_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Asked:
    """One first try.

    Attributes:
        request_id: Its id.
        path: Its path.
        instance: Where it was sent.
        at_ms: When it was sent.
        is_cut: Whether the instance had been partitioned from all endpoints
            for the stable time.
        answer: The answer.
    """

    request_id: str
    path: str
    instance: str
    at_ms: float
    is_cut: bool
    answer: deployments.Answer


class History:
    """One history.

    Args:
        seed: Fixes all that happens.
    """

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self._cut_since_ms: dict[str, float] = {}
        # Instances that don't reach some of the endpoints.
        self._partly_cut: set[str] = set()
        self.asked: list[Asked] = []

    async def play(self) -> list[str]:
        """Plays the history and returns the rules that were broken."""
        async with cut_offs.deployed(*NAMES) as world:
            self._world = world
            world.revive_crashed(after_ms=RESTART_MS)
            for backend in world.backends.by_name.values():
                backend.is_framed = self._rng.random() >= UNFRAMED_SHARE
            until_ms = world.clock.now_ms() + LENGTH_MS
            trouble = asyncio.ensure_future(self._trouble(until_ms))
            calls = asyncio.ensure_future(self._call(until_ms))
            await asyncio.gather(trouble, calls)
            world.cuts.end()
            await world.clock.sleep_ms(ENDED_MS)
            return [*self._check_served(), *self._check_runs(), *self._left()]

    async def _call(self, until_ms: float) -> None:
        asking = []
        world = self._world
        while world.clock.now_ms() < until_ms:
            for name in sorted(world.instances):
                path = self._rng.choice(cut_offs.PATHS)
                request_id = f"h{len(asking)}"
                asking.append(
                    asyncio.ensure_future(self._ask(request_id, path, name))
                )
            await world.clock.sleep_ms(EVERY_MS * self._rng.uniform(0.5, 1.5))
        self.asked = list(await asyncio.gather(*asking))

    async def _ask(self, request_id: str, path: str, name: str) -> Asked:
        world = self._world
        at_ms = world.clock.now_ms()
        since_ms = self._cut_since_ms.get(name)
        is_cut = since_ms is not None and at_ms - since_ms >= cut_offs.STABLE_MS
        answer = await world.ask(
            path,
            instance=name,
            request_id=request_id,
            caller_timeout_ms=4_000.0,
        )
        return Asked(request_id, path, name, at_ms, is_cut, answer)

    async def _trouble(self, until_ms: float) -> None:
        world = self._world
        while True:
            await world.clock.sleep_ms(self._rng.uniform(500.0, 3_000.0))
            if world.clock.now_ms() > until_ms - 1_000.0:
                return
            event = self._rng.choice(
                (
                    self._cut_some,
                    self._cut_some,
                    self._cut_some,
                    self._end_cuts,
                    self._cut_partly,
                    self._restart_leader,
                    self._drain_endpoint,
                    self._stall_endpoint,
                    self._crash_endpoint,
                    self._crash_endpoint,
                )
            )
            await event()

    async def _cut_some(self) -> None:
        names = self._to_cut()
        most = len(names)
        if most < 1:
            return
        count = self._rng.choice((1, min(2, most), most))
        kind = self._rng.choice(list(endpoint_cuts.CutKind))
        for name in self._rng.sample(names, count):
            self._world.cuts.begin(name, kind)
            now_ms = self._world.clock.now_ms()
            self._cut_since_ms[name] = now_ms

    async def _cut_partly(self) -> None:
        """Cuts one instance from one domain's endpoints or one service's."""
        names = self._to_cut()
        if not names:
            return
        name = self._rng.choice(names)
        by_name = self._world.backends.by_name.values()
        service = self._rng.choice((deployments.PLAIN, deployments.ENGINES))
        domain = self._rng.choice("ab")
        cut = [b.name for b in by_name if b.endpoint.service == service]
        if self._rng.random() < 0.5:
            cut = [b.name for b in by_name if b.endpoint.domain == domain]
        kind = self._rng.choice(list(endpoint_cuts.CutKind))
        self._world.cuts.begin(name, kind, endpoints=cut)
        self._partly_cut.add(name)

    def _to_cut(self) -> list[str]:
        """Returns instances that may be cut.

        One that reaches all endpoints is left, or nobody could serve.
        """
        uncut = [
            name
            for name in sorted(self._world.instances)
            if name not in self._cut_since_ms
        ]
        spared = self._rng.choice(
            [name for name in uncut if name not in self._partly_cut]
        )
        return [name for name in uncut if name != spared]

    async def _end_cuts(self) -> None:
        names = sorted(self._world.instances)
        for name in self._rng.sample(names, 3):
            self._world.cuts.end(name)
            self._cut_since_ms.pop(name, None)
            self._partly_cut.discard(name)

    async def _restart_leader(self) -> None:
        leader = self._world.leader
        if leader is not None:
            await self._world.restart(leader)

    async def _drain_endpoint(self) -> None:
        """Has a plain endpoint drain for some seconds."""
        backend = self._choose_running("s-")
        self._world.register(backend, drained=True)
        at_ms = self._world.clock.now_ms() + 3_000.0

        def go_on() -> None:
            if not backend.has_crashed.is_set():
                self._world.register(backend, drained=False)

        self._world.clock.call_at_ms(at_ms, go_on)

    async def _stall_endpoint(self) -> None:
        """Has a plain endpoint take a second for each call for a while."""
        backend = self._choose_running("t-")
        backend.work_ms = 1_000.0
        at_ms = self._world.clock.now_ms() + 1_000.0

        def go_on() -> None:
            backend.work_ms = 20.0

        self._world.clock.call_at_ms(at_ms, go_on)

    async def _crash_endpoint(self) -> None:
        """Crashes an endpoint while it writes an answer, if one does."""
        writing = [b for b in self._running() if b.running_requests]
        victim = self._rng.choice(writing or self._running())
        self._world.backends.crash(victim)

    def _choose_running(self, prefix: str) -> backend_state.StandInBackend:
        """Chooses an endpoint that hasn't crashed, by the start of its name."""
        fitting = [b for b in self._running() if b.name.startswith(prefix)]
        return self._rng.choice(fitting or self._running())

    def _running(self) -> list[backend_state.StandInBackend]:
        behind = self._world.backends.by_name.values()
        return [b for b in behind if not b.has_crashed.is_set()]

    def _check_served(self) -> list[str]:
        """Checks the users' bound on first tries at partitioned instances."""
        cut = [a for a in self.asked if a.is_cut]
        others = [a for a in self.asked if not a.is_cut]
        if not cut or not others:
            return []
        failed = [a for a in cut if a.answer.status != 200]
        served_cut = 1.0 - len(failed) / len(cut)
        served = sum(a.answer.status == 200 for a in others) / len(others)
        is_rarer = served_cut < SERVED_SHARE * served
        if is_rarer and len(failed) > FAILED_COUNT + FAILED_SHARE * len(cut):
            return [f"served {served_cut:.2f} of {len(cut)}, {served:.2f}"]
        return []

    def _check_runs(self) -> list[str]:
        broken = []
        count: dict[str, int] = {}
        for run in self._world.backends.runs:
            count[run.request_id] = count.get(run.request_id, 0) + 1
        for asked in self.asked:
            runs = count.get(asked.request_id, 0)
            is_once = asked.path.startswith(("/sale/", "/once/"))
            if is_once and runs > 1:
                broken.append(f"{asked.request_id} ran {runs} times")
            error = asked.answer.error
            if error is not None and error.ran is errors.Ran.NO and runs:
                broken.append(f"{asked.request_id} not run, but ran")
            if asked.answer.is_ended and not _is_whole(asked):
                broken.append(f"{asked.request_id} isn't whole")
        return broken

    def _left(self) -> list[str]:
        """Returns what engines and instances still hold at the end."""
        self._world.backends.remove_expired_reservations()
        left = [
            f"{backend.name} holds {backend.held} {backend.running_requests}"
            for backend in self._world.backends.by_name.values()
            if backend.running_requests
            or (backend.endpoint.role is resources.Role.DECODE and backend.held)
        ]
        for name, instance in self._world.instances.items():
            if instance.admission.in_flight:
                left.append(f"{name}: {instance.admission.in_flight}")
            if instance.paths.reachability.cut_off_groups:
                left.append(f"{name} takes itself for cut off")
        return left


def _is_whole(asked: Asked) -> bool:
    """Whether an answer that ended like a whole one is whole."""
    if asked.path.startswith(("/verdicts/", "/once/")):
        return asked.answer.numbers == list(range(1, EVENTS + 1))
    return asked.answer.body == asked.request_id.encode()


def play(seed: int) -> list[str]:
    """Plays one history and returns the rules that were broken."""
    return deployments.run(History(seed).play())


def main() -> None:
    """Plays as many histories as the argument says."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    failed = 0
    for seed in range(int(sys.argv[1])):
        broken = play(seed)
        if broken:
            failed += 1
            print(seed, len(broken), broken[:4], flush=True)
    print(f"{sys.argv[1]} histories, {failed} with a broken rule")


if __name__ == "__main__":
    main()
