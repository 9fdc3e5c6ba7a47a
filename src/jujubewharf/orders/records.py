"""Lease records of the log's ``orders`` stream.

A record is a msgpack array without field names, to save bandwidth: every
instance reads all records, and its control traffic is limited to 3 KB/s. Newer
versions may append items; older versions ignore them.
"""

from __future__ import annotations

import dataclasses
import enum

import msgpack

STREAM = "orders"


class Verb(enum.Enum):
    """Effect of a record on an engine's lease."""

    CLAIM = "c"
    RENEW = "n"
    RELEASE = "r"


class Purpose(enum.Enum):
    """Purpose of a lease.

    ``LOAD`` takes the engine out of service and loads from the weight store,
    ``ROLE`` only takes it out of service, ``ADAPTER`` leaves it in service.
    """

    LOAD = "l"
    ROLE = "o"
    ADAPTER = "a"


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRecord:
    """A record of one engine's lease; applied as a compare-and-set.

    Attributes:
        verb: Claim, renew or release.
        engine: Name of the engine.
        holder: Instance that wrote the record.
        record_id: Identifies the record, to find out whether an append without
            a response took effect.
        after: Offset of the last record of this engine that the writer had
            read. The record is accepted only if there is no other in between.
        fence: Offset of the claim that is renewed or released.
        lease_ms: Duration of the lease.
        purpose: Purpose of the lease.
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
    """The record is from a newer version or is not a lease record."""


def encode(record: LeaseRecord) -> bytes:
    """Encodes a record for the log."""
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
    """Decodes a record of the log.

    Raises:
        UnknownRecordError: This version cannot decode the record.
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
