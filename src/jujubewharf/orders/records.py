"""Lease records as they stand on the log's ``orders`` stream.

A record is a msgpack array, without field names, since every instance reads
each one and has 3 KB a second for all its control traffic. Newer versions may
add items at the end; older ones leave them aside.
"""

from __future__ import annotations

import dataclasses
import enum

import msgpack

STREAM = "orders"


class Verb(enum.Enum):
    """What a record does to an engine's lease."""

    CLAIM = "c"
    RENEW = "n"
    RELEASE = "r"


class Purpose(enum.Enum):
    """Why an engine is ordered.

    ``LOAD`` takes the engine out of service and loads from the weight store,
    ``ROLE`` only takes it out, ``ADAPTER`` leaves it in service.
    """

    LOAD = "l"
    ROLE = "o"
    ADAPTER = "a"


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRecord:
    """One record about one engine's lease; a compare-and-set.

    Attributes:
        verb: Claim, renew or release.
        engine: Name of the engine.
        holder: Instance that wrote it.
        record_id: Names the record; it resolves an append without answer.
        after: Offset of the last record about this engine that the writer
            had read. The record counts only if none lies in between.
        fence: Offset of the claim that is renewed or released.
        lease_ms: How long the lease runs from now.
        purpose: Why the engine is ordered.
    """

    verb: Verb
    engine: str
    holder: str
    record_id: str
    after: int
    fence: int = -1
    lease_ms: float = 0.0
    purpose: Purpose = Purpose.ADAPTER


class UnknownRecordError(Exception):
    """The record is from a newer version or no lease record."""


def encode(record: LeaseRecord) -> bytes:
    """A record as bytes for the log."""
    return msgpack.packb(
        (
            record.verb.value,
            record.engine,
            record.holder,
            record.record_id,
            record.after,
            record.fence,
            int(record.lease_ms),
            record.purpose.value,
        )
    )


def decode(payload: bytes) -> LeaseRecord:
    """A record from the log's bytes.

    Raises:
        UnknownRecordError: The bytes are none that this version knows.
    """
    try:
        verb, engine, holder, record_id, after, fence, lease_ms, purpose = (
            msgpack.unpackb(payload)[:8]
        )
        return LeaseRecord(
            Verb(verb),
            str(engine),
            str(holder),
            str(record_id),
            int(after),
            int(fence),
            float(lease_ms),
            Purpose(purpose),
        )
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise UnknownRecordError(str(error)) from error
