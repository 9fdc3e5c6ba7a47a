"""Messages about the load of endpoints; numbers 120 to 129.

Ages are durations rather than timestamps, because clocks differ between
instances.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import itertools

from jujubewharf.endpoint_load import reports
from jujubewharf.endpoint_load import table
from jujubewharf.peers import messages

# Digests stay within the budget for control traffic however many endpoints
# there are.
MAX_DIGEST_LOADS = 16


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointLoad:
    """Newest load report of one endpoint, as known to the sender.

    Attributes:
        endpoint: Name of the endpoint, unique to one start.
        running: Requests that it processes.
        waiting: Requests in its queue.
        slots: Requests that it processes at the same time.
        slowdown_percent: Duration of work relative to the usual one; ``None``
            if the endpoint doesn't state it.
        age_ms: Time since an instance received the report from the endpoint.
    """

    endpoint: str
    running: int
    waiting: int
    slots: int
    slowdown_percent: int | None = None
    age_ms: int = 0

    @classmethod
    def from_known(cls, endpoint: str, known: table.KnownLoad) -> EndpointLoad:
        """Creates the message part for a known report."""
        report = known.report
        return cls(
            endpoint,
            report.running,
            report.waiting,
            report.slots,
            report.slowdown_percent,
            round(known.age_ms),
        )

    def report(self) -> reports.LoadReport | None:
        """Returns the report; counts an invalid one and returns ``None``."""
        return reports.accepted(
            self.running, self.waiting, self.slots, self.slowdown_percent
        )


@messages.message(120)
@dataclasses.dataclass(frozen=True, slots=True)
class LoadDigest(messages.Message):
    """The leader's newest load reports of plain endpoints.

    Each field holds one value per endpoint, in the same order. As maps by field
    name, like other nested data classes, the loads would take about three times
    the bytes.
    """

    endpoints: tuple[str, ...]
    running: tuple[int, ...]
    waiting: tuple[int, ...]
    slots: tuple[int, ...]
    slowdown_percent: tuple[int | None, ...]
    age_ms: tuple[int, ...]

    @classmethod
    def from_loads(cls, loads: Iterable[EndpointLoad]) -> LoadDigest:
        """Creates the message; the loads beyond the limit are left out."""
        kept = tuple(itertools.islice(loads, MAX_DIGEST_LOADS))
        return cls(
            tuple(load.endpoint for load in kept),
            tuple(load.running for load in kept),
            tuple(load.waiting for load in kept),
            tuple(load.slots for load in kept),
            tuple(load.slowdown_percent for load in kept),
            tuple(load.age_ms for load in kept),
        )

    def loads(self) -> Iterator[EndpointLoad]:
        """Yields the loads, at most as many as a digest may have."""
        columns = zip(
            self.endpoints,
            self.running,
            self.waiting,
            self.slots,
            self.slowdown_percent,
            self.age_ms,
            strict=False,
        )
        for values in itertools.islice(columns, MAX_DIGEST_LOADS):
            yield EndpointLoad(*values)
