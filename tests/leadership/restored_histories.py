"""Seeded histories of a store that is restored, and the rules they keep."""

from __future__ import annotations

import asyncio
import dataclasses
import random

from jujubewharf.standins import store as stores
from tests.forwarding import deployments

# Bounds in ms: a change is in force, an instance counts as connected again
# after trouble, a lost registration is written again, the store drops the
# entry of an endpoint that is gone.
IN_FORCE_MS = 2_000.0
STABLE_MS = 3_000.0
REGISTERED_AGAIN_MS = 2_000.0
LAPSE_MS = 3_600.0
_STEP_MS = 50.0
# Interval of the store's copies, and number of the newest ones that are used.
_COPY_EVERY_MS = 500.0
_COPIES = 14
# Number of instances from which on one always remembers a crash report.
_REMEMBERING_INSTANCES = 3
_CRASHING = b"crashes each engine that runs it"


@dataclasses.dataclass(slots=True)
class Endpoint:
    """What an endpoint itself knows.

    Attributes:
        ready_ms: Time at which the store confirmed its registration.
        drains_ms: Time at which it confirmed that it drains or has left.
        is_gone: Whether it has left.
    """

    ready_ms: float
    drains_ms: float | None = None
    is_gone: bool = False


class History:
    """One history; ``run`` raises ``AssertionError`` for a broken rule.

    Args:
        seed: Seed of all that happens.
        count: Number of instances.
    """

    def __init__(self, seed: int, count: int) -> None:
        self._rng = random.Random(seed)
        self._names = [f"e{n}" for n in range(1, count + 1)]
        self._world = deployments.Deployment(
            deployments.prefill_engine("p1"), deployments.decode_engine("d1")
        )
        self._store = self._world.store
        self._version = 1
        self._confirmed: list[tuple[float, int]] = []
        self._endpoints: dict[str, Endpoint] = {}
        # Copies by the time at which they were taken.
        self._copies: list[tuple[float, stores.StoreCopy]] = []
        self._disturbed_ms: dict[str, float] = {}
        self._shown: dict[str, int] = {}
        # Endpoints that each instance has sent work to, or has stopped to.
        self._used: dict[str, set[str]] = {name: set() for name in self._names}
        self._avoided: dict[str, set[str]] = {n: set() for n in self._names}
        self._fences: dict[str, int] = {}
        self._highest_fence = (0, "")
        self._due: list[tuple[float, str, str]] = []

    @property
    def _now_ms(self) -> float:
        return self._world.clock.now_ms()

    async def run(self, *, for_ms: float = 40_000.0) -> None:
        """Plays the history and checks the rules all the while."""
        world = self._world
        await world.start(*self._names, is_led=True)
        self._confirm(1)
        for name in self._names:
            self._disturbed_ms[name] = self._now_ms
        call = world.call("/sale/1", body=_CRASHING)
        world.instances["e1"].crashes.record_crash(call, "a", stage="run")
        until_ms = self._now_ms + for_ms
        next_ms = self._now_ms + STABLE_MS
        while self._now_ms < until_ms:
            await world.clock.sleep_ms(_STEP_MS)
            self._take_copy()
            self._write_due()
            if self._now_ms >= next_ms:
                await self._act()
                next_ms = self._now_ms + self._rng.choice(
                    (150.0, 400.0, 900.0, 2_500.0)
                )
            self._check()
        await self._finish()
        await world.stop()

    async def _act(self) -> None:
        actions = [self._write_version] * 3 + [self._register] * 3
        actions += [self._drain, self._leave] + [self._restore] * 2
        actions += [self._cut_off, self._reconnect, self._restart]
        action = self._rng.choice(actions)
        await action()

    async def _write_version(self) -> None:
        if self._store.outage is not None:
            return
        self._version += self._rng.randint(1, 4)
        configuration = deployments.configuration(self._version)
        self._world.configurations.put("config", configuration)
        self._confirm(self._version)

    def _confirm(self, version: int) -> None:
        self._confirmed.append((self._now_ms, version))

    async def _register(self) -> None:
        if self._store.outage is None:
            name = f"s{len(self._endpoints)}"
            self._endpoints[name] = Endpoint(self._now_ms)
            self._put(name)

    def _put(self, name: str) -> None:
        known = self._endpoints[name]
        endpoint = deployments.plain_endpoint(name).endpoint
        value = dataclasses.replace(
            endpoint, drained=known.drains_ms is not None
        )
        self._world.endpoints.put(name, None if known.is_gone else value)

    async def _drain(self) -> None:
        await self._end(is_gone=False)

    async def _leave(self) -> None:
        await self._end(is_gone=True)

    async def _end(self, *, is_gone: bool) -> None:
        present = [n for n, e in self._endpoints.items() if not e.is_gone]
        if present and self._store.outage is None:
            name = self._rng.choice(present)
            known = self._endpoints[name]
            known.is_gone = is_gone
            known.drains_ms = known.drains_ms or self._now_ms
            self._put(name)

    def _take_copy(self) -> None:
        taken_ms = self._copies[-1][0] if self._copies else -_COPY_EVERY_MS
        if self._now_ms - taken_ms >= _COPY_EVERY_MS:
            self._copies.append((self._now_ms, self._store.copy()))

    async def _restore(self) -> None:
        """Lets the store go away and come back, once or twice in a row."""
        copy = self._rng.choice(self._copies[-_COPIES:])[1]
        for _ in range(self._rng.choice((1, 1, 2))):
            self._store.outage = self._rng.choice(list(stores.Outage))
            until_ms = self._now_ms + self._rng.choice((50.0, 900.0, 3_000.0))
            while self._now_ms < until_ms:
                await self._world.clock.sleep_ms(_STEP_MS)
                self._disturb(*self._names)
                self._check()
            lost = self._store.restore(copy)
            self._disturb(*self._names)
            # Who starts now can't know of what is lost.
            self._confirmed = [
                (at_ms, version)
                for at_ms, version in self._confirmed
                if version <= self._stored_version()
            ]
            self._schedule_again(lost)

    def _schedule_again(self, lost) -> None:
        """Operators and endpoints write again what was lost."""
        now_ms = self._now_ms
        self._due.clear()
        delay_ms = self._rng.choice((0.0, 100.0, 3_000.0))
        if lost["configurations"] and self._rng.random() < 0.7:
            self._due.append((now_ms + delay_ms, "version", ""))
        for name, known in self._endpoints.items():
            again_ms = self._rng.random() * REGISTERED_AGAIN_MS
            if known.is_gone:
                again_ms = LAPSE_MS
            self._due.append((now_ms + again_ms, "endpoint", name))
            if known.drains_ms is None:
                known.ready_ms = now_ms + REGISTERED_AGAIN_MS
        for _ in range(self._rng.choice((0, 0, 1, 8))):
            self._world.endpoints.put("other", None)

    def _write_due(self) -> None:
        for due in [d for d in self._due if d[0] <= self._now_ms]:
            if self._store.outage is not None:
                return
            self._due.remove(due)
            _, kind, name = due
            if kind == "endpoint":
                self._put(name)
                continue
            newest = deployments.configuration(self._version)
            self._world.configurations.put("config", newest)
            self._confirm(self._version)

    async def _cut_off(self) -> None:
        name = self._rng.choice(self._names)
        self._store.cut_off[name] = self._rng.choice(list(stores.Outage))

    async def _reconnect(self) -> None:
        self._disturb(*self._store.cut_off)
        self._store.cut_off.clear()

    async def _restart(self) -> None:
        name = self._rng.choice([self._world.leader or "e1", *self._names])
        self._shown.pop(name, None)
        self._used[name].clear()
        self._avoided[name].clear()
        self._fences.pop(name, None)
        restarting = asyncio.ensure_future(self._world.restart(name))
        while not restarting.done():
            # The others go on registering meanwhile.
            await self._world.clock.sleep_ms(_STEP_MS)
            self._write_due()
            self._disturb(name)
            self._check()
        await restarting
        self._disturb(name)

    def _disturb(self, *names: str) -> None:
        for name in names:
            self._disturbed_ms[name] = self._now_ms

    def _connected(self) -> list[str]:
        """Instances that reach the store, and have for a while."""
        return [
            name
            for name in self._world.instances
            if name not in self._store.cut_off
            and self._now_ms - self._disturbed_ms[name] > STABLE_MS
        ]

    def _check(self) -> None:
        self._check_versions()
        self._check_stable_choice()
        self._check_endpoints()
        self._check_fences()

    def _check_versions(self) -> None:
        for name, instance in self._world.instances.items():
            version = instance.source.version or 0
            assert version >= self._shown.get(name, 0), f"{name} went back"
            self._shown[name] = version
        due = [v for t, v in self._confirmed if self._now_ms - t > IN_FORCE_MS]
        if self._store.outage is not None or not due:
            return
        for name in self._connected():
            shown = self._shown[name]
            assert shown >= max(due), f"{name} is at {shown}"

    def _stored_version(self) -> int:
        records = self._world.configurations.copy().records
        return records[-1].value.version

    def _check_stable_choice(self) -> None:
        """An instance goes on using what lives, and on avoiding what ended."""
        for name, instance in self._world.instances.items():
            used, avoided = self._used[name], self._avoided[name]
            for endpoint, known in self._endpoints.items():
                is_served = instance.registry.takes_work(endpoint)
                if known.drains_ms is None:
                    if is_served:
                        used.add(endpoint)
                    lacks = endpoint in used and not is_served
                    assert not lacks, f"{name} dropped {endpoint}"
                elif is_served:
                    returned = endpoint in avoided
                    assert not returned, f"{name} uses {endpoint} again"
                elif endpoint in used:
                    avoided.add(endpoint)

    def _check_endpoints(self) -> None:
        if self._store.outage is not None:
            return
        for name in self._connected():
            registry = self._world.instances[name].registry
            for endpoint, known in self._endpoints.items():
                since_ms = known.drains_ms
                is_served = registry.takes_work(endpoint)
                if since_ms is None:
                    age_ms = self._now_ms - known.ready_ms
                    must = age_ms > IN_FORCE_MS + REGISTERED_AGAIN_MS
                    assert is_served or not must, f"{name} lacks {endpoint}"
                elif self._now_ms - since_ms > IN_FORCE_MS:
                    is_old = (
                        self._now_ms - self._disturbed_ms[name] < LAPSE_MS + 2e3
                        and known.is_gone
                    )
                    assert is_old or not is_served, f"{name} uses {endpoint}"

    def _check_fences(self) -> None:
        """Fences only rise, and one is used by one instance."""
        for name, instance in self._world.instances.items():
            fence = instance.lease.fence
            if fence is None:
                continue
            highest, holder = self._highest_fence
            assert fence >= highest, f"{name} orders with {fence} < {highest}"
            assert fence > highest or holder in ("", name), "two holders"
            self._highest_fence = (fence, name)

    async def _finish(self) -> None:
        """Everything heals: one leads, all agree, reports are kept."""
        self._store.cut_off.clear()
        for _ in range(240):
            await self._world.clock.sleep_ms(_STEP_MS)
            self._write_due()
        instances = self._world.instances.values()
        leading = [i for i in instances if i.fleet.is_leading]
        assert len(leading) == 1
        versions = {i.source.version for i in instances}
        assert len(versions) == 1, versions
        if len(self._names) < _REMEMBERING_INSTANCES:
            return
        for name in self._names:
            await self._world.restart(name)
        call = self._world.call("/sale/1", body=_CRASHING)
        counts = {i.crashes.count(call) for i in self._world.instances.values()}
        assert counts == {1}, counts
