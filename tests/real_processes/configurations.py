"""The operator's configuration, and one change of it of each kind."""

from __future__ import annotations

from collections.abc import Callable
import copy
import json
import random

HOST = "calls.example"
API_KEY = "key-of-all-callers"
# Services with models, and plain services; routes move between two of a kind.
CHATS = ("chat-a", "chat-b")
SHOPS = ("shop-a", "shop-b")
# Names of routes: streams and plain ones.
STREAMS = ("split", "moved", "steady", "single")
REPEATABLE = "look"
ONCE = "buy"
# Routes whose requests run at most once.
RUN_ONCE = ("single", ONCE)
# Timeouts that a route has; no answer may be ended before the shortest.
TIMEOUTS_MS = (8_000, 7_000)

Fields = dict
Change = Callable[[Fields, random.Random], None]


def first() -> Fields:
    """Returns the configuration that is in force before any call."""
    return {
        "version": 1,
        "routes": [
            _route("split", "stream", [(CHATS[0], 3), (CHATS[1], 1)]),
            _route("moved", "stream", [(CHATS[1], 1)]),
            _route("steady", "stream", [(CHATS[0], 1)]),
            _route("single", "stream", [(CHATS[0], 1)], resumable=False),
            _route(REPEATABLE, "idempotent", [(SHOPS[0], 1), (SHOPS[1], 1)]),
            _route(ONCE, "non_idempotent", [(SHOPS[0], 1)]),
            _idle_route(0),
        ],
        "services": [
            *({"name": n, "healthPath": "/healthz"} for n in SHOPS),
            *(_model_service(name) for name in CHATS),
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 1_048_576,
            "headerTimeoutMs": 5_000,
            "idleTimeoutMs": 30_000,
        },
        "tenants": [_account("all", priority=2)],
    }


def encode(configuration: Fields) -> bytes:
    """Returns a configuration as the operator writes it."""
    return json.dumps(configuration).encode()


def changed(configuration: Fields, kind: str, rng: random.Random) -> Fields:
    """Returns the next version, with one change of a kind of ``KINDS``."""
    following = copy.deepcopy(configuration)
    following["version"] += rng.randint(1, 9)
    KINDS[kind](following, rng)
    return following


def _route(
    name: str,
    kind: str,
    shares: list[tuple[str, float]],
    *,
    resumable: bool = True,
) -> Fields:
    is_stream = kind == "stream"
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": TIMEOUTS_MS[0],
        "sloLatencyMs": 900,
        "priority": 2,
        "trafficSplit": [{"service": s, "weight": w} for s, w in shares],
        "maxAttempts": 1 if kind == "non_idempotent" else 2,
        "sticky": is_stream,
        "resumable": is_stream and resumable,
        "gapSloMs": 300,
    }


def _idle_route(number: int) -> Fields:
    return _route(f"idle-{number}", "idempotent", [(SHOPS[0], 1)])


def _model_service(name: str) -> Fields:
    engine = {
        "slots": 24,
        "kvTokens": 60_000,
        "handleTtlS": 3.0,
        "switchS": 0.5,
        "holdMs": 2_000.0,
        "stride": 1,
    }
    return {"name": name, "healthPath": "/healthz", "engine": engine}


def _account(name: str, *, priority: int) -> Fields:
    keys = [API_KEY if name == "all" else f"key-of-{name}"]
    return {"name": name, "apiKeys": keys, "priority": priority}


def route_of(configuration: Fields, name: str) -> Fields:
    """Returns the route of a name."""
    return next(r for r in configuration["routes"] if r["name"] == name)


def _add_idle_route(configuration: Fields, _: random.Random) -> None:
    configuration["routes"].append(_idle_route(configuration["version"]))


def _remove_idle_route(configuration: Fields, rng: random.Random) -> None:
    routes = configuration["routes"]
    idle = [r for r in routes if r["name"].startswith("idle-")]
    if idle:
        routes.remove(rng.choice(idle))


def _move_route(configuration: Fields, rng: random.Random) -> None:
    name, services = rng.choice([("moved", CHATS), (ONCE, SHOPS)])
    share = route_of(configuration, name)["trafficSplit"][0]
    share["service"] = services[services.index(share["service"]) - 1]


def _change_weights(configuration: Fields, rng: random.Random) -> None:
    name = rng.choice(["split", REPEATABLE])
    for share in route_of(configuration, name)["trafficSplit"]:
        share["weight"] = rng.randint(1, 9)


def _change_timeout(configuration: Fields, rng: random.Random) -> None:
    name = rng.choice([*STREAMS, REPEATABLE, ONCE])
    route = route_of(configuration, name)
    index = TIMEOUTS_MS.index(route["timeoutMs"])
    route["timeoutMs"] = TIMEOUTS_MS[index - 1]


def _change_limits(configuration: Fields, rng: random.Random) -> None:
    limits = configuration["limits"]
    limits["idleTimeoutMs"] = rng.choice([25_000, 30_000, 40_000])
    limits["maxBodyBytes"] = rng.choice([524_288, 1_048_576])


def _change_account(configuration: Fields, rng: random.Random) -> None:
    tenants = configuration["tenants"]
    tenants[0]["priority"] = rng.randint(0, 4)
    if len(tenants) > 1:
        tenants.pop()
    else:
        tenants.append(_account("other", priority=rng.randint(0, 4)))


KINDS: dict[str, Change] = {
    "idle route added": _add_idle_route,
    "idle route removed": _remove_idle_route,
    "route moved": _move_route,
    "weights": _change_weights,
    "timeout": _change_timeout,
    "limits": _change_limits,
    "account": _change_account,
}
