"""Bursts of large bodies beside an endpoint that one instance doesn't reach."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import socket
import types

from tests.real_processes import callers as all_callers
from tests.real_processes import checks
from tests.real_processes import children
from tests.real_processes import configurations
from tests.real_processes import deployment as deployments
from tests.real_processes import http_io
from tests.real_processes import machine_memory
from tests.real_processes import uploaders as all_uploaders
from tests.real_processes import uploads

_SIZE = deployments.Size(prefill=0, decode=(0, 0), plain=(1, 3), instances=2)
_MEMORY_MB = 150.0
_UPLOADERS = 18
_SMALL = 6
_ROUNDS = 3
_DARK_S = 2.0
_REST_S = 1.5
# Fills the queue of new connections of a stand-in that accepts none.
_FILLERS = http_io.BACKLOG + 8
_OTHER_ROUTE = "sell"


@contextlib.contextmanager
def _dark(endpoint: children.Child, address: str):
    """Has an endpoint's host answer nothing, also to new connections."""
    host, _, port = address.rpartition(":")
    endpoint.send(signal.SIGSTOP)
    with contextlib.ExitStack() as fillers:
        for _ in range(_FILLERS):
            filler = fillers.enter_context(socket.socket())
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect((host, int(port)))
        yield
        endpoint.send(signal.SIGCONT)


def _begin(deployment, number, kind, route, count, exchanges):
    """Starts callers of one route at one instance."""
    one = types.SimpleNamespace(instances=[deployment.instances[number]])
    started = []
    for n in range(count):
        name = f"{route}-{kind.__name__}-{number}-{n}"
        caller = kind(one, name, (route,), random.Random(name), exchanges)
        if kind is all_uploaders.Uploader:
            caller.kinds = ("whole",)
        started.append(caller)
    return started


async def _configure(deployment: deployments.Deployment) -> None:
    await uploads.allow_large_bodies(deployment)
    configuration = deployment.configuration | {"version": 3}
    route = configurations.route_of(configuration, configurations.ONCE)
    shares = [{"service": configurations.SHOPS[1], "weight": 1}]
    other = route | {
        "name": _OTHER_ROUTE,
        "pathPrefix": f"/{_OTHER_ROUTE}/",
        "trafficSplit": shares,
    }
    configuration["routes"] = [*configuration["routes"], other]
    await deployment.configure(configuration)
    await asyncio.sleep(_REST_S)


# Bodies of calls for a peer stood outside of every account: both the peer that
# made the calls and the instance that asked it exceeded their memory.
async def test_bodies_of_calls_for_a_peer_end_no_instance():
    async with deployments.deployed(_SIZE, memory_mb=_MEMORY_MB) as deployment:
        await _configure(deployment)
        (dark,) = [
            e for e in deployment.engines if configurations.SHOPS[0] in e.name
        ]
        watch = machine_memory.Watch(deployment, _MEMORY_MB)
        watching = asyncio.ensure_future(watch.run())
        burst: list[all_callers.Exchange] = []
        sound: list[all_callers.Exchange] = []
        uploader, small = all_uploaders.Uploader, all_callers.Caller
        callers = [
            *_begin(
                deployment, 0, uploader, configurations.ONCE, _UPLOADERS, burst
            ),
            *_begin(deployment, 0, small, _OTHER_ROUTE, _SMALL, sound),
            *_begin(deployment, 1, uploader, _OTHER_ROUTE, _UPLOADERS, sound),
            *_begin(deployment, 1, small, _OTHER_ROUTE, _SMALL, sound),
        ]
        tasks = [asyncio.ensure_future(caller.run()) for caller in callers]
        address = await deployment.address_of(dark.name)
        for _ in range(_ROUNDS):
            await asyncio.sleep(_REST_S)
            with _dark(dark, address):
                await asyncio.sleep(_DARK_S)
        for caller in callers:
            caller.is_leaving = True
        await asyncio.gather(*tasks)
        watching.cancel()
        runs = deployment.runs()
    assert not watch.kills, watch.peaks_mb
    for exchanges in (burst, sound):
        report = checks.check(exchanges, runs, pauses=[])
        assert not report.violations, "\n".join(report.violations)
    # Callers whose endpoint is sound are served, with small bodies all of them.
    refused = [e for e in sound if e.status == 503]
    small = [e.reason for e in refused if "Caller" in e.request_id]
    assert not small, small
    assert len(refused) < len(sound) / 10
