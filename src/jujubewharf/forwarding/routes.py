"""Routes from hosts and paths to services, and the table that matches them."""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses
import enum

from jujubewharf.forwarding import accounts as client_accounts


class Repeat(enum.Enum):
    """What may be done a second time for one sending of a caller.

    ``NEVER``: one engine at most may begin to work on it. ``AGAIN``: the whole
    request may run more than once. ``CONTINUE``: a stream that broke may go on
    elsewhere after the last event that arrived.
    """

    NEVER = "never"
    AGAIN = "again"
    CONTINUE = "continue"


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """One service of a route, with its share of the route's requests."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where requests of one host and path prefix go, and how.

    Attributes:
        name: Unique name.
        host: Host that callers name, without a port, in lower case.
        path_prefix: Begins and ends with a slash.
        shares: Services that may run it; the weights of all count together.
        repeat: What may be repeated.
        is_stream: Whether the answer is a series of numbered events.
        is_model: Whether requests carry a prompt's size and run on engines.
        timeout_ms: Longest time from arrival to the end of the answer.
        target_ms: Time to the answer (streams: to the first event) within
            which the caller is served well.
        priority: 0 is served first.
        max_attempts: Engines that one request may be sent to.
        is_public: Whether its callers need no key.
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
    """What all engines of a model service have in common.

    Attributes:
        slots: Requests that one engine runs at once.
        memory_tokens: Tokens that one engine's KV cache holds.
        handle_ttl_ms: Time for which a prefill result waits to be fetched.
        role_switch_ms: Time for which a change of role keeps it from work.
        hold_max_ms: Longest time for which memory can be reserved.
        event_tokens: Tokens in one event of an answer.
    """

    slots: int
    memory_tokens: int
    handle_ttl_ms: float
    role_switch_ms: float
    hold_max_ms: float
    event_tokens: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class RoutedService:
    """A service as routing sees it; ``engine`` is ``None`` for plain ones."""

    name: str
    engine: EngineTraits | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """What callers may send, and how long a connection may be idle."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingConfiguration:
    """One whole version of what operators have declared.

    Attributes:
        version: Grows with each change; an older one is never taken back.
        routes: All routes.
        services: All services, by name.
        limits: Bounds of what callers send.
        accounts: Client accounts; ``None`` where callers need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, RoutedService]
    limits: CallerLimits = CallerLimits()
    accounts: tuple[client_accounts.Account, ...] | None = None


class RouteTable:
    """Matches host and path against the routes of one configuration.

    Args:
        routes: The routes; of two with one host and prefix the later wins.
    """

    def __init__(self, routes: Sequence[Route]) -> None:
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            of_host = self._by_host.setdefault(route.host, {})
            of_host[route.path_prefix] = route

    def match(self, host: str, path: str) -> Route | None:
        """The route with the longest prefix that begins the path.

        Prefixes end with a slash, so only the path's own slashes are tried:
        the cost doesn't grow with the number of routes.
        """
        of_host = self._by_host.get(_bare(host))
        if of_host is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = of_host.get(path[: end + 1])
            if route is not None:
                return route
        return None


def _bare(host: str) -> str:
    """A host without its port, in lower case, as names are compared."""
    name, colon, port = host.rpartition(":")
    if colon and port.isdigit():
        host = name
    return host.lower()
