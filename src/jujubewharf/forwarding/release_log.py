"""Log lines and counters of what is freed at engines."""

from __future__ import annotations

from collections.abc import Iterator
import contextlib
import enum

from opentelemetry import metrics
import structlog

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.engines import client
from jujubewharf.forwarding import registry as registries

_RELEASES = metrics.get_meter("jujubewharf").create_counter(
    "forwarding.releases",
    description="Releases of what engines hold for requests, by outcome.",
)
_RELEASED = "released"

_logger = structlog.get_logger()


class Held(enum.Enum):
    """What an engine holds for a request."""

    RESERVATION = "reservation"
    PREFILL_RESULT = "prefill_result"


@contextlib.contextmanager
def logged_release(
    held: Held,
    engine: resources.Endpoint,
    registry: registries.Registry,
    clock: clocks.Clock,
    *,
    since_ms: float,
) -> Iterator[None]:
    """Counts the release that the block makes; a failed one needs no retry.

    What isn't freed expires by itself. A release at an address that may be
    another endpoint's by now is logged.

    Args:
        held: What is freed.
        engine: The engine that holds it.
        registry: Registered endpoints; an engine whose address turns out to be
            another's is removed.
        clock: Time source.
        since_ms: Clock reading since which the engine holds it.
    """
    held_ms = clock.now_ms() - since_ms
    outcome = _RELEASED
    try:
        yield
    except client.EngineError as error:
        outcome = error.fault.value
        if error.fault is client.EngineFault.REFUSED_IDENTITY:
            registry.remove_replaced(engine.name)
    finally:
        _RELEASES.add(1, {"held": held.value, "outcome": outcome})
        if not registry.is_registered(engine.name):
            _logger.info(
                "release_at_former_address",
                held=held.value,
                engine=engine.name,
                address=engine.address,
                held_ms=round(held_ms),
                outcome=outcome,
            )
