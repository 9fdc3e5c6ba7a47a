"""Replies whose end shows that they are whole, also if they have no length."""

from __future__ import annotations

import dataclasses

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.engines import answer_ends
from jujubewharf.forwarding import calls


def with_certain_end(
    reply: calls.Reply,
    endpoint: resources.Endpoint,
    state_of: answer_ends.StateOf,
    clock: clocks.Clock,
) -> calls.Reply:
    """Returns a reply whose body raises if its end may not be the whole's.

    Args:
        reply: The reply.
        endpoint: Where it comes from.
        state_of: Returns the state of an endpoint's process.
        clock: Time source.
    """
    if reply.is_framed:
        return reply
    body = answer_ends.whole_body(reply.body, endpoint, state_of, clock)
    return dataclasses.replace(reply, body=body, is_framed=True)
