"""Gauges of the memory that is held for callers and peers."""

from __future__ import annotations

from collections.abc import Iterable

from opentelemetry import metrics

from jujubewharf.held_memory import memory_account

_METER = metrics.get_meter("jujubewharf")
_Observation = metrics.Observation


def register_gauges(account: memory_account.HeldMemory) -> None:
    """Registers the gauges of an account; call it once per process."""

    def held(options: metrics.CallbackOptions) -> Iterable[_Observation]:
        for kind, size_bytes in account.held.items():
            yield _Observation(size_bytes, {"kind": kind.value})

    def bound(options: metrics.CallbackOptions) -> Iterable[_Observation]:
        yield _Observation(account.bound_bytes)

    def waiting(options: metrics.CallbackOptions) -> Iterable[_Observation]:
        yield _Observation(account.waiting_bytes)

    _METER.create_observable_gauge(
        "callers.held_memory",
        [held],
        unit="By",
        description="Memory held for callers, by kind.",
    )
    _METER.create_observable_gauge(
        "callers.held_memory_bound",
        [bound],
        unit="By",
        description="Most memory that is held for callers.",
    )
    _METER.create_observable_gauge(
        "callers.memory_waiting",
        [waiting],
        unit="By",
        description="Memory that unread requests wait for.",
    )
