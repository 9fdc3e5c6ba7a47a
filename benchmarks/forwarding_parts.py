"""Helpers shared by the forwarding benchmarks."""

from __future__ import annotations

import contextlib

from jujubewharf import errors
from jujubewharf.forwarding import calls
from jujubewharf.forwarding import entry
from jujubewharf.forwarding import routes
from jujubewharf.forwarding import settings as all_settings

SERVICE = "verdict-llm"
ROUTE = routes.Route(
    "verdicts",
    "shop.example",
    "/verdicts/",
    (routes.Share(SERVICE, 1.0),),
    repeat=routes.Repeat.CONTINUE,
    is_stream=True,
    is_model=True,
    timeout_ms=14_000.0,
    target_ms=900.0,
    max_attempts=2,
)


def settings(name: str) -> all_settings.ForwardingSettings:
    """Returns settings of an instance that opens no listeners."""
    return all_settings.ForwardingSettings.model_validate(
        {
            "instance": name,
            "domain": "a",
            "callers": "127.0.0.1:0",
            "readiness": "127.0.0.1:0",
            "store": {
                "address": "127.0.0.1:1",
                "part_count": 24,
                "group_ttl_ms": 3_000,
            },
            "retries": {"ratio": 0.2, "slack": 40, "window_s": 10},
            "stop_within_s": 8,
        }
    )


async def send_request(
    instance: entry.ForwardingEntry,
    number: int,
    *,
    arrived_ms: float,
    work: calls.ModelWork,
    headers: calls.Headers = (),
) -> None:
    """Sends a request and reads its answer; ignores a refusal."""
    call = calls.Call(
        f"request-{number}",
        "POST",
        ROUTE.host,
        "/verdicts/1",
        headers,
        b"body",
        arrived_ms,
        work=work,
    )
    with contextlib.suppress(errors.WharfError):
        async with instance.run(call) as reply:
            async for _ in reply.body:
                pass
