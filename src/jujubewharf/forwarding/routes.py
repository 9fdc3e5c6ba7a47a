"""Routes from hosts and path prefixes to services."""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses
import enum

from jujubewharf.forwarding import accounts as client_accounts


class Repeat(enum.Enum):
    """Whether a request may be repeated after a failure.

    ``NEVER``: at most one engine may start to process it. ``AGAIN``: the whole
    request may run more than once. ``CONTINUE``: a stream that breaks may
    resume elsewhere after the last event that arrived.
    """

    NEVER = "never"
    AGAIN = "again"
    CONTINUE = "continue"


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """One service of a route and its share of the route's traffic."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Maps requests of one host and path prefix to services.

    Attributes:
        name: Unique name.
        host: Host name in lower case, without a port.
        path_prefix: Prefix that begins and ends with a slash.
        shares: Services of the route; weights are relative to their sum.
        repeat: Whether requests may be repeated.
        is_stream: Whether answers are streams of numbered events.
        is_model: Whether requests state their prompt's size and run on engines.
        timeout_ms: Time limit from arrival to the end of the answer.
        target_ms: Target for the time to the answer, or to the first event of a
            stream.
        priority: Priority of requests, 0 is the highest.
        max_attempts: Maximum number of engines that a request is sent to.
        is_public: Whether callers need no key.
    """

    name: str
    host: str
    path_prefix: str
    shares: tuple[Share, ...]
    repeat: Repeat = Repeat.NEVER
    is_stream: bool = False
    is_model: bool = False
    timeout_ms: float = 30_000.0
    target_ms: float = 1_000.0
    priority: int = 5
    max_attempts: int = 1
    is_public: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class EngineTraits:
    """Properties that all engines of a model service share.

    Attributes:
        slots: Maximum number of concurrent requests of an engine.
        memory_tokens: Size of an engine's KV cache in tokens.
        handle_ttl_ms: Time until a prefill result expires.
        role_switch_ms: Time that a role change takes.
        hold_max_ms: Maximum time of a memory reservation.
        event_tokens: Tokens per event of an answer.
    """

    slots: int
    memory_tokens: int
    handle_ttl_ms: float
    role_switch_ms: float
    hold_max_ms: float
    event_tokens: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class RoutedService:
    """A service; ``engine`` is ``None`` for plain services."""

    name: str
    engine: EngineTraits | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on requests and connections of callers.

    Attributes:
        max_header_bytes: Maximum size of a request's headers.
        max_body_bytes: Maximum size of a request's body.
        header_timeout_ms: Time limit for receiving the headers.
        idle_timeout_ms: Time after which an idle connection is closed.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingConfiguration:
    """One version of the routing configuration.

    Attributes:
        version: Version number, increased by each change.
        routes: All routes.
        services: All services by name.
        limits: Limits on requests and connections of callers.
        accounts: Client accounts; ``None`` if callers need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, RoutedService]
    limits: CallerLimits = CallerLimits()
    accounts: tuple[client_accounts.Account, ...] | None = None


class RouteTable:
    """Matches hosts and paths against the routes of one configuration.

    Args:
        routes: The routes; for equal host and prefix the last one is used.
    """

    def __init__(self, routes: Sequence[Route]) -> None:
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            by_prefix = self._by_host.setdefault(route.host, {})
            by_prefix[route.path_prefix] = route

    def match(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest matching path prefix, if any.

        Prefixes end with a slash, so only the prefixes at the path's slashes
        are looked up. The cost does not depend on the number of routes.
        """
        by_prefix = self._by_host.get(_normalize_host(host))
        if by_prefix is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
        return None


def _normalize_host(host: str) -> str:
    """Returns the host in lower case and without a port."""
    name, colon, port = host.rpartition(":")
    if colon and port.isdigit():
        host = name
    return host.lower()
