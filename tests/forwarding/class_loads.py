"""Loads of priority classes and client accounts on a full model service."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
import contextlib
import dataclasses
import itertools
import random

import structlog

from jujubewharf import bearer
from jujubewharf import errors
from jujubewharf.configuration import resources
from jujubewharf.forwarding import accounts
from jujubewharf.forwarding import routes
from jujubewharf.forwarding import settings as all_settings
from jujubewharf.standins import backend_state
from tests.forwarding import deployments
from tests.forwarding import test_settings

URGENT = dataclasses.replace(
    deployments.STREAM,
    name="urgent",
    path_prefix="/urgent/",
    priority=0,
    target_ms=900.0,
)
PATIENT = dataclasses.replace(
    deployments.STREAM,
    name="patient",
    path_prefix="/patient/",
    priority=5,
    target_ms=2_000.0,
)
ACCOUNTS = tuple(
    accounts.Account(f"a{n}", (bearer.token_digest(f"key-{n}"),))
    for n in range(16)
)
# Requests per second that the engines of ``new_deployment`` serve.
ROOM_PER_S = 26.0
# Time after a refusal at which memory that was released with it has been taken
# by the request that was woken for it.
_SETTLE_MS = 2.0


@dataclasses.dataclass
class Asked:
    """A request and its outcome.

    Attributes:
        route: Name of its route.
        account: Name of its account.
        at_ms: Clock reading at which it arrived.
        answer: The answer.
        is_refused_beside_room: Whether it was refused while an engine had
            enough free memory.
    """

    route: str
    account: str | None
    at_ms: float
    answer: deployments.Answer
    is_refused_beside_room: bool = False

    @property
    def is_served(self) -> bool:
        """Whether it was answered whole."""
        return self.answer.error is None and self.answer.status == 200


class World(deployments.Deployment):
    """A deployment that keeps its log lines.

    Attributes:
        lines: Log lines, in order.
    """

    def __init__(self, *behind: backend_state.StandInBackend) -> None:
        super().__init__(*behind)
        self.lines: list[structlog.typing.EventDict] = []


def new_deployment() -> World:
    """A deployment whose engines serve a bounded number of requests."""
    behind = [deployments.prefill_engine(f"p{n}") for n in range(2)]
    for number in range(3):
        engine = deployments.decode_engine(f"d{number}")
        # Answers of one length would end together for the whole run.
        engine.events = 14 + 6 * number
        behind.append(engine)
    for backend in behind:
        backend.memory_tokens = 80_000
    return World(*behind)


def configuration(
    version: int,
    *,
    all_accounts: Sequence[accounts.Account] | None = None,
    all_routes: Sequence[routes.Route] = (URGENT, PATIENT),
) -> routes.RoutingConfiguration:
    """A configuration with both classes."""
    services = dict(deployments.SERVICES)
    traits = services[deployments.ENGINES].engine
    assert traits is not None
    services[deployments.ENGINES] = routes.RoutedService(
        deployments.ENGINES,
        dataclasses.replace(traits, slots=64, memory_tokens=80_000),
    )
    return routes.RoutingConfiguration(
        version,
        tuple(all_routes),
        services,
        accounts=None if all_accounts is None else tuple(all_accounts),
    )


@contextlib.asynccontextmanager
async def deployed(
    *names: str,
    all_accounts: Sequence[accounts.Account] | None = None,
    all_routes: Sequence[routes.Route] = (URGENT, PATIENT),
    is_led: bool = False,
):
    """A started deployment with both classes, for the block."""
    world = new_deployment()
    world.configurations.put(
        "config",
        configuration(1, all_accounts=all_accounts, all_routes=all_routes),
    )
    for backend in world.backends.by_name.values():
        world.endpoints.put(backend.name, backend.endpoint)
    with structlog.testing.capture_logs() as world.lines:
        await world.start(*(names or ("e1",)), declare=False, is_led=is_led)
        try:
            yield world
        finally:
            await world.stop()


def apply_admission(world: deployments.Deployment, **admission) -> None:
    """Changes the admission settings of all instances."""
    settings = all_settings.ForwardingSettings.model_validate(
        test_settings.GOOD | {"admission": admission}
    )
    for instance in world.instances.values():
        instance.apply_settings(settings)


class Load:
    """Sends requests at random times and keeps their outcomes.

    Attributes:
        asked: All requests, in the order of their outcomes.
    """

    def __init__(self, world: World, seed: int) -> None:
        self.asked: list[Asked] = []
        self._world = world
        self._rng = random.Random(seed)
        self._tasks: set[asyncio.Task[None]] = set()
        self._ids = itertools.count()

    async def send(
        self,
        route: routes.Route,
        *,
        per_s: float,
        for_ms: float,
        account: int | None = None,
        caller_timeout_ms: float = 8_000.0,
    ) -> None:
        """Sends requests for some time."""
        clock = self._world.clock
        until_ms = clock.now_ms() + for_ms
        while True:
            await clock.sleep_ms(self._rng.expovariate(per_s / 1_000.0))
            if clock.now_ms() >= until_ms:
                return
            self.send_one(route, account, caller_timeout_ms)

    def send_one(
        self,
        route: routes.Route,
        account: int | None = None,
        caller_timeout_ms: float = 8_000.0,
    ) -> None:
        """Sends one request."""
        names = sorted(self._world.instances)
        task = asyncio.ensure_future(
            self._ask(
                route, account, caller_timeout_ms, self._rng.choice(names)
            )
        )
        self._tasks.add(task)

    async def finish(self) -> list[Asked]:
        """Waits for all outcomes."""
        while self._tasks:
            tasks, self._tasks = self._tasks, set()
            await asyncio.gather(*tasks)
        return self.asked

    async def _ask(
        self,
        route: routes.Route,
        account: int | None,
        caller_timeout_ms: float,
        instance: str,
    ) -> None:
        headers = ()
        if account is not None:
            headers = (("Authorization", f"Bearer key-{account}"),)
        at_ms = self._world.clock.now_ms()
        request_id = f"load-{next(self._ids)}"
        answer = await self._world.ask(
            f"{route.path_prefix}1",
            request_id=request_id,
            instance=instance,
            headers=headers,
            caller_timeout_ms=caller_timeout_ms,
        )
        name = None if account is None else f"a{account}"
        asked = Asked(route.name, name, at_ms, answer)
        error = answer.error
        if error is not None and error.kind is errors.ErrorKind.QUEUE_FULL:
            tokens = self._needed_tokens(request_id)
            had_room = self._has_room(tokens)
            await self._world.clock.sleep_ms(_SETTLE_MS)
            asked.is_refused_beside_room = had_room and self._has_room(tokens)
        self.asked.append(asked)

    def _needed_tokens(self, request_id: str) -> int:
        """Returns the memory that a refused request needed."""
        return next(
            line["tokens"] + line["free_tokens"]
            for line in reversed(self._world.lines)
            if line["event"] == "request_not_placed"
            and line["request"] == request_id
        )

    def _has_room(self, tokens: int) -> bool:
        """Whether a decode engine has memory for a request."""
        return any(
            backend.memory_tokens - sum(backend.held.values()) >= tokens
            for backend in self._world.backends.by_name.values()
            if backend.endpoint.role is resources.Role.DECODE
        )


def served_share(asked: Sequence[Asked]) -> float:
    """Returns the share of requests that were served."""
    return sum(a.is_served for a in asked) / len(asked)


def of_route(asked: Sequence[Asked], route: routes.Route) -> list[Asked]:
    """Returns the requests of a route."""
    return [a for a in asked if a.route == route.name]
