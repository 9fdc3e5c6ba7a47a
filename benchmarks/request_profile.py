"""Processor time of a placed request by module.

Run: ``python -m benchmarks.request_profile``. A leader and three followers
place streams of client accounts on stand-ins and a virtual clock under the
profiler, without HTTP. Profiling overstates short functions: compare modules
with each other, but don't take the sum as the cost of a request.
"""

from __future__ import annotations

import asyncio
import collections
import cProfile
import dataclasses
import pathlib
import pstats
import random

from benchmarks import forwarding_parts
from jujubewharf import bearer
from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.experiments import virtual_time
from jujubewharf.forwarding import accounts
from jujubewharf.forwarding import calls
from jujubewharf.forwarding import entry
from jujubewharf.forwarding import ports
from jujubewharf.forwarding import routes
from jujubewharf.platform import epochs
from jujubewharf.standins import backend_state
from jujubewharf.standins import backends
from jujubewharf.standins import network
from jujubewharf.standins import tables
from jujubewharf.telemetry import logs

_INSTANCES = ("e1", "e2", "e3", "e4")
_ACCOUNTS = 16
_REQUESTS = 1_000
_INTERVAL_MS = 40.0
_SETTLE_MS = 4_000.0
_WORK = calls.ModelWork(3_000, 9_000, 6_000)
_MAX_ROWS = 16
_MS_PER_S = 1e3
_TRAITS = routes.EngineTraits(12, 60_000, 500.0, 6_000.0, 2_000.0)


@dataclasses.dataclass(frozen=True, slots=True)
class ModuleTime:
    """Processor time of one module.

    Attributes:
        module: Name of the module or library.
        request_ms: Processor time per request under the profiler.
    """

    module: str
    request_ms: float


def measure(requests: int = _REQUESTS) -> list[ModuleTime]:
    """Profiles requests and returns the modules, most expensive first."""
    logs.configure("critical")
    profile = cProfile.Profile()
    try:
        virtual_time.run(_run(profile, requests))
    finally:
        logs.configure()
    time_s: dict[str, float] = collections.defaultdict(float)
    rows = pstats.Stats(profile).stats  # type: ignore[attr-defined]
    for (path, _, _), (_, _, own_s, _, _) in rows.items():
        time_s[_module(path)] += own_s
    found = [
        ModuleTime(name, own_s * _MS_PER_S / requests)
        for name, own_s in time_s.items()
    ]
    return sorted(found, key=lambda row: -row.request_ms)


def _module(path: str) -> str:
    parts = pathlib.Path(path).parts
    if "jujubewharf" in parts:
        inside = parts[parts.index("jujubewharf") + 1 :]
        return "/".join(inside).removesuffix(".py")
    if "site-packages" in parts:
        return parts[parts.index("site-packages") + 1]
    return "python"


async def _run(profile: cProfile.Profile, requests: int) -> None:
    clock = clocks.Clock(wall_origin_ms=0.0)
    instances = await _start(clock)
    await clock.sleep_ms(_SETTLE_MS)
    tasks: list[asyncio.Task[None]] = []
    profile.enable()
    for number in range(requests):
        instance = instances[number % len(instances)]
        account = f"account-{number % _ACCOUNTS}"
        request = forwarding_parts.send_request(
            instance,
            number,
            arrived_ms=clock.now_ms(),
            work=_WORK,
            headers=(("Authorization", f"Bearer {account}"),),
        )
        tasks.append(asyncio.ensure_future(request))
        await clock.sleep_ms(_INTERVAL_MS)
    await asyncio.gather(*tasks)
    profile.disable()
    for instance in instances:
        await instance.stop()


async def _start(clock: clocks.Clock) -> list[entry.ForwardingEntry]:
    engines = [_engine("p1", resources.Role.PREFILL)]
    engines += [_engine(f"d{n}", resources.Role.DECODE) for n in range(6)]
    stand_ins = backends.StandInBackends(clock, engines)
    configurations = tables.StandInTable(clock)
    configurations.put(
        "config",
        routes.RoutingConfiguration(
            1,
            (forwarding_parts.ROUTE,),
            {
                forwarding_parts.SERVICE: routes.RoutedService(
                    forwarding_parts.SERVICE, _TRAITS
                )
            },
            accounts=tuple(_account(n) for n in range(_ACCOUNTS)),
        ),
    )
    endpoints = tables.StandInTable(clock)
    for engine in engines:
        endpoints.put(engine.name, engine.endpoint)
    leaders = tables.StandInGroups(clock)
    peer_network = network.MemoryNetwork(clock)
    instances: list[entry.ForwardingEntry] = []
    for name in _INSTANCES:
        address = f"{name}:1"
        peers = ports.PeerAdapters(
            leaders.member(address),
            peer_network.transport(name, "a", address=address),
            address,
        )
        adapters = entry.Adapters(
            stand_ins.for_instance(name),
            configurations,
            endpoints,
            tables.StandInGroups(clock).member(name),
            epochs.StoreEpoch(),
            peers,
        )
        instance = entry.ForwardingEntry(
            forwarding_parts.settings(name),
            clock,
            adapters,
            random.Random(name),
        )
        await instance.start()
        instances.append(instance)
    return instances


def _engine(name: str, role: resources.Role) -> backend_state.StandInBackend:
    endpoint = resources.Endpoint(
        name, forwarding_parts.SERVICE, f"{name}:1", "a", role
    )
    return backend_state.StandInBackend(
        endpoint, events=40, memory_tokens=60_000
    )


def _account(number: int) -> accounts.Account:
    name = f"account-{number}"
    quota = accounts.Quota(1e6, 1e6, accounts.QuotaUnit.TOKENS, 200.0)
    return accounts.Account(name, (bearer.token_digest(name),), quota=quota)


def main() -> None:
    """Prints the most expensive modules."""
    rows = measure()
    total_ms = sum(row.request_ms for row in rows)
    print(f"{total_ms:.2f} ms a request under the profiler")
    for row in rows[:_MAX_ROWS]:
        print(f"{row.request_ms:7.3f} ms  {row.module}")


if __name__ == "__main__":
    main()
