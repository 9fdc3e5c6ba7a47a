"""Calls that ask for a permit, and what is decided about them."""

from __future__ import annotations

import dataclasses
import enum

from jujubewharf.admission import fair_share

# Share of the time between target and deadline for which a late call waits.
# The rest is for its caller to come back.
_LATE_WAIT_SHARE = 0.5


class Outcome(enum.Enum):
    """How a granted call ended.

    ``STREAMED``: its answer was passed on while it was still arriving, so the
    time until the release isn't the endpoint's alone. ``ERROR``: the endpoint
    answered with an error. ``FAILED``: there was no answer. ``FULL``: the
    endpoint rejected it. ``UNUSED``: nothing was sent.
    """

    COMPLETED = "completed"
    STREAMED = "streamed"
    ERROR = "error"
    FAILED = "failed"
    FULL = "full"
    CANCELLED = "cancelled"
    UNUSED = "unused"


class RejectReason(enum.Enum):
    """Why a call was rejected.

    ``NO_TIME``: it can't be served before its deadline. ``NO_ENDPOINT``: no
    endpoint accepts it. ``TOO_MANY``: too many calls wait.
    """

    NO_TIME = "no_time"
    NO_ENDPOINT = "no_endpoint"
    TOO_MANY = "too_many"


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingCall:
    """A call that asks for a permit; times are clock readings in ms.

    Attributes:
        number: Number of the call, unique within the queue.
        domain: Failure domain of the instance that has the call.
        due_ms: Time from which the answer is late.
        deadline_ms: Time at which the caller gives up.
        priority: Priority; 0 is the highest.
        account: Name of the client account; ``None`` if there is none.
        excluded: Endpoints that must not get it.
    """

    number: int
    domain: str
    due_ms: float
    deadline_ms: float
    priority: int = 0
    account: str | None = None
    excluded: frozenset[str] = frozenset()

    def latest_start_ms(self, high_ms: float) -> float:
        """Returns until when the call waits.

        Args:
            high_ms: Time within which nearly all calls end.
        """
        between_ms = max(0.0, self.deadline_ms - self.due_ms)
        give_up_ms = self.due_ms + between_ms * _LATE_WAIT_SHARE
        return min(self.deadline_ms - high_ms, give_up_ms)


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """The call may be sent to an endpoint now.

    Attributes:
        number: Number of the call.
        endpoint: Name of the endpoint.
        waited_ms: How long it waited.
        ahead: Number of calls that waited before it.
        account_group: Group of its account, for metrics.
    """

    number: int
    endpoint: str
    waited_ms: float = 0.0
    ahead: int = 0
    account_group: fair_share.AccountGroup = fair_share.AccountGroup.NONE


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """The call waits; a decision follows.

    Attributes:
        number: Number of the call.
        ahead: Number of calls that wait before it.
    """

    number: int
    ahead: int


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The call isn't served.

    Attributes:
        number: Number of the call.
        retry_after_ms: Time until capacity is expected for it.
        reason: Why it was rejected.
        waited_ms: How long it waited.
        ahead: Number of calls that waited before it.
        account_group: Group of its account, for metrics.
    """

    number: int
    retry_after_ms: float
    reason: RejectReason
    waited_ms: float = 0.0
    ahead: int = 0
    account_group: fair_share.AccountGroup = fair_share.AccountGroup.NONE


Decision = Granted | Rejected
