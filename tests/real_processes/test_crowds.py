"""Crowds of clients that don't behave, against a machine's limits.

A crowd sends what no client inside the limits sends, and stays. The instance
may refuse it; it must live on within its memory and its descriptors, and an
ordinary caller must get its answer.
"""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import os

import pytest

from tests.real_processes import configurations
from tests.real_processes import crowds
from tests.real_processes import deployment as deployments
from tests.real_processes import http_io
from tests.real_processes import machine_memory
from tests.real_processes import uploads

pytestmark = pytest.mark.alone

_SIZE = deployments.Size(prefill=0, decode=(0, 0), plain=(1, 1), instances=1)
_MEMORY_MB = 100.0
_DESCRIPTORS = 256
# Descriptors that an instance needs for endpoints, the store and peers.
_OWN_DESCRIPTORS = 32
_SENDERS = 32
_SILENT = 400
_LOOK_S = 0.01
# A caller tries as often as callers do; each try has its deadline.
_TRIES = 3
_DEADLINE_MS = 10_000
_OK = 200
_IDS = itertools.count()


@dataclasses.dataclass
class _Descriptors:
    """Watches how many descriptors a process has open."""

    pid: int
    peak: int = 0

    async def run(self) -> None:
        while True:
            self.peak = max(self.peak, _open_descriptors(self.pid))
            await asyncio.sleep(_LOOK_S)


def _open_descriptors(pid: int) -> int:
    try:
        return len(os.listdir(f"/proc/{pid}/fd"))
    except OSError:
        return 0


async def _ask(address: str) -> int:
    """Makes an ordinary request, which may be repeated."""
    status = 0
    for _ in range(_TRIES):
        try:
            async with asyncio.timeout(_DEADLINE_MS / 1_000):
                status, _ = await http_io.call(
                    address,
                    "POST",
                    f"/{configurations.REPEATABLE}/",
                    b"ordinary",
                    **{
                        "Host": configurations.HOST,
                        "Authorization": f"Bearer {configurations.API_KEY}",
                        "Request-Id": f"ordinary-{next(_IDS)}",
                        "Deadline-Ms": _DEADLINE_MS,
                    },
                )
        except (TimeoutError, OSError, http_io.ClosedError):
            status = 0
        if status == _OK:
            break
    return status


async def _check_crowd(kind: str, listener: str = "callers") -> None:
    async with deployments.deployed(
        _SIZE, memory_mb=_MEMORY_MB, descriptors=_DESCRIPTORS
    ) as deployment:
        await uploads.allow_large_bodies(deployment)
        (instance,) = deployment.instances
        assert await _ask(instance.callers) == _OK
        memory = machine_memory.Watch(deployment, _MEMORY_MB)
        descriptors = _Descriptors(instance.child.pid)
        watches = [
            asyncio.ensure_future(watch.run())
            for watch in (memory, descriptors)
        ]
        crowd = crowds.Crowd(instance.addresses[listener], crowds.KINDS[kind])
        try:
            count = _SILENT if kind == "silence" else _SENDERS
            await crowd.send_all(count)
            status = await _ask(instance.callers)
        finally:
            crowd.close()
            for watch in watches:
                watch.cancel()
        assert not memory.kills, memory.peaks_mb
        assert instance.child.is_running
        assert descriptors.peak <= _DESCRIPTORS - _OWN_DESCRIPTORS
        assert status == _OK


# A crowd that stops short of what it began, or never stops, took a process over
# its machine's memory, or kept its event loop from all other callers.
@pytest.mark.parametrize("kind", crowds.KINDS)
async def test_crowd_of_callers_ends_and_stops_no_instance(kind):
    await _check_crowd(kind)


# The listeners besides that for callers had no bound of size, time or number.
@pytest.mark.parametrize("listener", ["readiness", "metrics", "peers"])
@pytest.mark.parametrize(
    "kind", ["no request", "fields without end", "tiny chunks", "silence"]
)
async def test_crowd_at_another_listener_stops_no_instance(listener, kind):
    await _check_crowd(kind, listener)
