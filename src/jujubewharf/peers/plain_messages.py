"""Messages about permits of plain calls; numbers 130 to 139.

Times are durations rather than timestamps, because clocks differ between
instances. They are whole milliseconds, which take fewer bytes.
"""

from __future__ import annotations

import dataclasses

from jujubewharf.peers import load_messages
from jujubewharf.peers import messages


@messages.message(130)
@dataclasses.dataclass(frozen=True, slots=True)
class PlainPermitRequest(messages.Message):
    """A follower requests a permit for one plain call.

    Attributes:
        number: Number of the call, unique on the link.
        request_id: Id of the caller's request, for logs.
        route: Name of the route, which has the target.
        service: Name of the service.
        account: Name of the client account, if there is one.
        domain: Failure domain of the follower.
        waited_ms: Time since the request arrived.
        left_ms: Time until its deadline.
        excluded: Endpoints that must not get it.
    """

    number: int
    request_id: str
    route: str
    service: str
    account: str | None
    domain: str
    waited_ms: int
    left_ms: int
    excluded: tuple[str, ...] = ()


@messages.message(131)
@dataclasses.dataclass(frozen=True, slots=True)
class PlainPermitGranted(messages.Message):
    """The leader's reply: the call may be sent to an endpoint now.

    Attributes:
        endpoint: Name of the endpoint.
        ahead: Calls that waited before it, for logs.
        load_age_ms: Age of the endpoint's load report, for logs.
    """

    endpoint: str
    ahead: int = 0
    load_age_ms: int | None = None


@messages.message(132)
@dataclasses.dataclass(frozen=True, slots=True)
class PlainPermitRejected(messages.Message):
    """The leader's reply: the call isn't served.

    Attributes:
        retry_after_ms: Time until capacity is expected for it.
        reason: Why, for logs; a value of ``decisions.RejectReason``.
        ahead: Calls that waited before it, for logs.
        load_age_ms: Age of the oldest load report of the service's endpoints,
            for logs; ``None`` if one is unknown.
    """

    retry_after_ms: int
    reason: str = ""
    ahead: int = 0
    load_age_ms: int | None = None


@messages.message(133)
@dataclasses.dataclass(frozen=True, slots=True)
class PlainPermitReleased(messages.Message):
    """A call has ended, or its caller has left while it waited.

    Attributes:
        number: Number of the call.
        outcome: How it ended; a value of ``decisions.Outcome``.
        took_ms: Time between the grant and the end of the call.
        loads: The endpoint's newest load report, if there is one.
    """

    number: int
    outcome: str
    took_ms: int = 0
    loads: load_messages.LoadDigest | None = None
