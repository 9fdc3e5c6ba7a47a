"""Replies whose end shows that they are whole, also if they have no length."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.engines import answer_ends
from jujubewharf.engines import process_watch
from jujubewharf.forwarding import calls


def with_certain_end(
    reply: calls.Reply,
    endpoint: resources.Endpoint,
    watch: Callable[[resources.Endpoint], process_watch.ProcessWatch],
    clock: clocks.Clock,
    *,
    limit_ms: float,
) -> calls.Reply:
    """Returns a reply whose body raises if its end may not be the whole's.

    Args:
        reply: The reply.
        endpoint: Where it comes from.
        watch: Watches the process of an endpoint.
        clock: Time source.
        limit_ms: Time from now for which the answer is of use.
    """
    if reply.is_framed:
        return reply
    body = answer_ends.whole_body(
        reply.body, endpoint, watch(endpoint), clock, limit_ms=limit_ms
    )
    return dataclasses.replace(reply, body=body, is_framed=True)
