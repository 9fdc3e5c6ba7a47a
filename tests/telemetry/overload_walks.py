"""Records log lines of overloaded services, from stand-ins on virtual time.

Run as a module, it writes the logs of ``walks/`` whose names begin with
``overload-``: ``python -m tests.telemetry.overload_walks``.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import contextlib
import dataclasses
import datetime
import json
import pathlib
import random

import structlog

from jujubewharf import clock as clocks
from jujubewharf.experiments import virtual_time
from jujubewharf.forwarding import routes
from tests.forwarding import class_loads
from tests.forwarding import deployments
from tests.leadership import plain_bursts

WALKS = pathlib.Path(__file__).parent / "walks"
LEADER = "e0"
_BEGAN = datetime.datetime(2026, 12, 2, 10, tzinfo=datetime.UTC)
_INSTANCES = 4
_LONG_WAIT_MS = 300.0


class Recorder:
    """Keeps log lines as an instance writes them.

    Attributes:
        lines: The lines, as they would be written.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.lines: list[str] = []
        self._clock = clock

    def __call__(
        self, logger: object, method: str, event: structlog.typing.EventDict
    ) -> structlog.typing.EventDict:
        """Keeps a line; see ``structlog.typing.Processor``."""
        at_ms = self._clock.now_ms()
        at = _BEGAN + datetime.timedelta(milliseconds=at_ms)
        given = {
            "timestamp": at.isoformat().replace("+00:00", "Z"),
            "instance": virtual_time.OWNER.get() or "",
            "level": method,
        }
        self.lines.append(json.dumps(given | event, sort_keys=True))
        raise structlog.DropEvent

    def of_requests(self, *ids: str) -> list[str]:
        """Returns the lines of some requests, and those of no request."""
        kept = []
        for line in self.lines:
            fields = json.loads(line)
            if fields.get("request", ids[0]) in ids:
                kept.append(line)
        return kept

    def ids_with(self, event: str, **fields: object) -> list[str]:
        """Returns the ids of requests that have a line with these fields."""
        found = []
        for line in self.lines:
            given = json.loads(line)
            if given["event"] == event and "request" in given:
                if all(given.get(n) == v for n, v in fields.items()):
                    found.append(given["request"])
        return found


@contextlib.contextmanager
def recorded(clock: clocks.Clock):
    """Keeps the lines that are logged in the block."""
    recorder = Recorder(clock)
    processors = structlog.get_config()["processors"]
    previous = list(processors)
    # In place, as loggers that were used before keep a reference to the list.
    processors[:] = [recorder]
    try:
        yield recorder
    finally:
        processors[:] = previous


@contextlib.contextmanager
def owned_by(name: str):
    """Runs the block as an instance, whose name its lines get."""
    token = virtual_time.OWNER.set(name)
    try:
        yield
    finally:
        virtual_time.OWNER.reset(token)


async def _start_all(world: deployments.Deployment) -> None:
    world.cores[LEADER] = 16.0
    for number in range(_INSTANCES):
        name = f"e{number}"
        with owned_by(name):
            await world.start(
                name, domain="ab"[number % 2], declare=False, is_led=True
            )
        if not number:
            await world.clock.sleep_ms(2_000.0)
    assert world.leader == LEADER


def _ask_as(world, instance: str, path: str, **more):
    async def ask():
        with owned_by(instance):
            return await world.ask(path, instance=instance, **more)

    return asyncio.ensure_future(ask())


async def _send(
    world,
    paths: Sequence[str],
    *,
    per_s: float,
    for_ms: float,
    instances: Sequence[str],
    prefix: str,
    **more,
) -> None:
    """Sends requests of two accounts, of which one sends most."""
    rng = random.Random(prefix)
    asked = []
    until_ms = world.clock.now_ms() + for_ms
    while world.clock.now_ms() < until_ms:
        await world.clock.sleep_ms(rng.expovariate(per_s / 1_000.0))
        account = int(rng.random() < 0.2)
        headers = (("Authorization", f"Bearer key-{account}"),)
        asked.append(
            _ask_as(
                world,
                rng.choice(instances),
                rng.choice(paths),
                request_id=f"{prefix}-{len(asked)}",
                headers=headers,
                **more,
            )
        )
    await asyncio.gather(*asked)


async def plain_burst() -> Recorder:
    """A burst of plain calls, in the end of which the leader is stopped."""
    world = deployments.Deployment(*plain_bursts.endpoints())
    all_routes = [
        dataclasses.replace(route, priority=priority)
        for route, priority in ((deployments.SALE, 0), (deployments.LOOKUP, 5))
    ]
    _declare(world, all_routes, deployments.SERVICES)
    with recorded(world.clock) as recorder:
        await _start_all(world)
        names = sorted(world.instances)
        for _ in range(2):
            await asyncio.gather(
                *(_ask_as(world, n, "/sale/1", headers=_KEY) for n in names)
            )
            await world.clock.sleep_ms(700.0)
        paths = ("/sale/1", "/lookup/1")
        over = 2 * plain_bursts.CAPACITY_PER_S
        await _send(
            world,
            paths,
            per_s=over,
            for_ms=1_500.0,
            instances=names,
            prefix="burst",
        )
        with owned_by(LEADER):
            await world.instances.pop(LEADER).stop()
        await _send(
            world,
            paths,
            per_s=over,
            for_ms=700.0,
            instances=names[1:],
            prefix="alone",
        )
        await world.stop()
    return recorder


_KEY = (("Authorization", "Bearer key-0"),)


def _declare(world, all_routes: Sequence[routes.Route], services) -> None:
    world.configurations.put(
        "config",
        routes.RoutingConfiguration(
            1, tuple(all_routes), services, accounts=class_loads.ACCOUNTS[:2]
        ),
    )
    for backend in world.backends.by_name.values():
        world.endpoints.put(backend.name, backend.endpoint)


async def model_burst() -> Recorder:
    """A patient burst beside urgent requests on full engines."""
    world = class_loads.new_deployment()
    configured = class_loads.configuration(1)
    _declare(world, configured.routes, configured.services)
    with recorded(world.clock) as recorder:
        await _start_all(world)
        names = sorted(world.instances)
        room = class_loads.ROOM_PER_S
        burst = {"for_ms": 6_000.0, "instances": names}
        await asyncio.gather(
            _send(
                world, ["/urgent/1"], per_s=room / 2, prefix="urgent", **burst
            ),
            _send(
                world, ["/patient/1"], per_s=room * 2, prefix="patient", **burst
            ),
        )
        await world.stop()
    return recorder


@dataclasses.dataclass(frozen=True)
class Example:
    """A request whose explanation is documented.

    Attributes:
        name: Name of its log.
        find: Returns the ids of such requests from recorded lines.
    """

    name: str
    find: Callable[[Recorder], list[str]]


def _late_calls(recorder: Recorder, decided_by: str) -> list[str]:
    late = recorder.ids_with("request_ended", has_missed_target=True)
    granted = recorder.ids_with("plain_call_granted", decided_by=decided_by)
    return [i for i in late if i in set(granted)]


def _refused_by_leader(recorder: Recorder) -> list[str]:
    at_leader = recorder.ids_with("request_not_placed", decided_by="leading")
    told = set(recorder.ids_with("request_refused_by_leader"))
    return [i for i in at_leader if i in told and i.startswith("patient")]


def _waited_long(recorder: Recorder) -> list[str]:
    placed = recorder.ids_with("request_placed", decided_by="following")
    ended = set(recorder.ids_with("request_ended", outcome="finished"))
    waited = [json.loads(line) for line in recorder.lines]
    long = {
        fields["request"]
        for fields in waited
        if fields["event"] == "request_placed"
        and fields["waited_ms"] >= _LONG_WAIT_MS
    }
    return [i for i in placed if i in ended & long and i.startswith("patient")]


PLAIN_EXAMPLES = (
    Example(
        "overload-plain-rejected",
        lambda r: r.ids_with("plain_call_rejected", decided_by="following"),
    ),
    Example(
        "overload-plain-rejected-by-leader",
        lambda r: r.ids_with("plain_call_rejected", decided_by="leading"),
    ),
    Example("overload-plain-late", lambda r: _late_calls(r, "following")),
    Example("overload-plain-alone", lambda r: _late_calls(r, "alone")),
)
MODEL_EXAMPLES = (
    Example("overload-patient-refused", _refused_by_leader),
    Example("overload-patient-waited", _waited_long),
)
# Number of the example among the requests found, so that it isn't one of the
# first ones of the burst.
_POSITION = 0.6


def main() -> None:
    """Writes the logs."""
    for scenario, examples in (
        (plain_burst, PLAIN_EXAMPLES),
        (model_burst, MODEL_EXAMPLES),
    ):
        recorder = deployments.run(scenario())
        for example in examples:
            found = example.find(recorder)
            print(example.name, len(found))
            if not found:
                continue
            chosen = found[int(len(found) * _POSITION)]
            print(chosen)
            text = "\n".join(recorder.of_requests(chosen)) + "\n"
            (WALKS / f"{example.name}.log").write_text(text)


if __name__ == "__main__":
    main()
