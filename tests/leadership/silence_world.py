"""Routes, engines and changes of the histories of silent engines."""

from __future__ import annotations

import dataclasses
import random

from jujubewharf import bearer
from jujubewharf.configuration import resources
from jujubewharf.forwarding import accounts
from jujubewharf.forwarding import routes
from jujubewharf.standins import backend_state
from tests.forwarding import deployments

NEXT_ENGINES = "verdict-llm-next"
FEED = "feed-api"
EVENTS = 40
EVENT_MS = 50.0
PREFILL_TOKEN_MS = 0.02
ACCOUNT = "shop"
KEY = "shop-key"
HEADERS = (("Authorization", f"Bearer {KEY}"),)

STREAM = deployments.STREAM
# The attempt that it has is its last one.
LAST_STREAM = dataclasses.replace(
    STREAM, name="lasts", path_prefix="/last/", max_attempts=1
)
FEED_STREAM = routes.Route(
    "feeds",
    deployments.HOST,
    "/feed/",
    (routes.Share(FEED, 1.0),),
    is_stream=True,
    timeout_ms=14_000.0,
    target_ms=900.0,
)
IDLE = dataclasses.replace(
    deployments.LOOKUP, name="idle", path_prefix="/idle/"
)
ROUTES = (
    STREAM,
    LAST_STREAM,
    deployments.ONE_STREAM,
    FEED_STREAM,
    deployments.LOOKUP,
    deployments.SALE,
)
SERVICES = {
    **deployments.SERVICES,
    NEXT_ENGINES: dataclasses.replace(
        deployments.SERVICES[deployments.ENGINES], name=NEXT_ENGINES
    ),
    FEED: routes.RoutedService(FEED),
}
_QUOTA = accounts.Quota(1e9, 1e9, accounts.QuotaUnit.TOKENS, 200.0)


def backends() -> list[backend_state.StandInBackend]:
    """Engines of two model services, and plain endpoints of two services."""
    behind = []
    for prefix, service in (("", None), ("n", NEXT_ENGINES)):
        for domain in "ab":
            behind += [
                _of(service, deployments.prefill_engine(f"{prefix}p-{domain}")),
                _of(service, deployments.decode_engine(f"{prefix}d-{domain}")),
                _of(service, deployments.decode_engine(f"{prefix}e-{domain}")),
            ]
    for domain in "ab":
        feed = deployments.plain_endpoint(f"f-{domain}", is_streaming=True)
        behind += [deployments.plain_endpoint(f"s-{domain}"), _of(FEED, feed)]
    for backend in behind:
        backend.endpoint = dataclasses.replace(
            backend.endpoint, domain=backend.name[-1]
        )
        backend.memory_tokens = 400_000
        backend.events = EVENTS
        backend.event_ms = EVENT_MS
        backend.prefill_token_ms = PREFILL_TOKEN_MS
    return behind


def _of(
    service: str | None, backend: backend_state.StandInBackend
) -> backend_state.StandInBackend:
    if service is not None:
        backend.endpoint = dataclasses.replace(
            backend.endpoint, service=service
        )
    return backend


class Changes:
    """Changes the configuration and drains engines.

    Args:
        world: The deployment.
        rng: Draws the changes.
    """

    def __init__(
        self, world: deployments.Deployment, rng: random.Random
    ) -> None:
        self._world = world
        self._rng = rng
        account = accounts.Account(
            ACCOUNT, (bearer.token_digest(KEY),), quota=_QUOTA
        )
        self._current = routes.RoutingConfiguration(
            2, ROUTES, SERVICES, accounts=(account,)
        )
        self._put()

    async def change(self) -> None:
        """Makes a change of any kind."""
        kind = self._rng.choice(
            (
                self._move,
                self._weigh,
                self._set_timeout,
                self._set_attempts,
                self._set_quota,
                self._set_limits,
                self._toggle_idle,
                self._drain,
            )
        )
        await kind()

    def _put(self, **changes) -> None:
        version = self._current.version + 1
        self._current = dataclasses.replace(
            self._current, version=version, **changes
        )
        self._world.configurations.put("config", self._current)

    def _replace(self, name: str, **changes) -> None:
        found = tuple(
            dataclasses.replace(route, **changes)
            if route.name == name
            else route
            for route in self._current.routes
        )
        self._put(routes=found)

    def _pick_stream(self) -> str:
        streams = (STREAM, LAST_STREAM, deployments.ONE_STREAM)
        return self._rng.choice(streams).name

    async def _move(self) -> None:
        """Moves a route to another service."""
        service = self._rng.choice((deployments.ENGINES, NEXT_ENGINES))
        self._replace(self._pick_stream(), shares=(routes.Share(service, 1.0),))

    async def _weigh(self) -> None:
        weights = self._rng.choice(((0.9, 0.1), (0.5, 0.5), (0.1, 0.9)))
        services = (deployments.ENGINES, NEXT_ENGINES)
        shares = tuple(map(routes.Share, services, weights))
        self._replace(self._pick_stream(), shares=shares)

    async def _set_timeout(self) -> None:
        timeout_ms = self._rng.choice((6_000.0, 14_000.0, 25_000.0))
        self._replace(self._pick_stream(), timeout_ms=timeout_ms)

    async def _set_attempts(self) -> None:
        self._replace(STREAM.name, max_attempts=self._rng.choice((1, 2, 3)))

    async def _set_quota(self) -> None:
        """Changes the account's quota, to one that denies nothing."""
        assert self._current.accounts is not None
        (account,) = self._current.accounts
        rate = self._rng.uniform(1e8, 1e9)
        quota = dataclasses.replace(_QUOTA, rate_per_s=rate, burst=rate)
        changed = dataclasses.replace(account, quota=quota)
        self._put(accounts=(changed,))

    async def _set_limits(self) -> None:
        size = self._rng.choice((1, 2, 4)) * 1_048_576
        limits = routes.CallerLimits(max_body_bytes=size)
        self._put(limits=limits)

    async def _toggle_idle(self) -> None:
        kept = tuple(r for r in self._current.routes if r is not IDLE)
        if len(kept) == len(self._current.routes):
            kept = (*kept, IDLE)
        self._put(routes=kept)

    async def _drain(self) -> None:
        """Has an engine drain for some seconds."""
        engines = [
            backend
            for backend in self._world.backends.by_name.values()
            if backend.endpoint.role is resources.Role.DECODE
            and not backend.endpoint.drained
            and not _is_gone(backend)
        ]
        backend = self._rng.choice(engines)
        self._world.register(backend, drained=True)
        await self._world.clock.sleep_ms(2_000.0)
        if not _is_gone(backend):
            self._world.register(backend, drained=False)


def _is_gone(backend: backend_state.StandInBackend) -> bool:
    is_dead = backend.has_crashed.is_set() or backend.is_dark
    return is_dead or backend.is_replaced
