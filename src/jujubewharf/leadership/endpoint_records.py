"""Endpoint records that the leader has read from the store.

Handles thousands of engines that rewrite their records about every second, of
which few change: only changed records are sent to followers.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable

import xxhash

from jujubewharf.configuration import resources
from jujubewharf.forwarding import registration
from jujubewharf.peers import codec
from jujubewharf.peers import leader_messages
from jujubewharf.platform import epochs
from jujubewharf.platform import tables
from jujubewharf.telemetry import containment


class EndpointRecords:
    """Newest record of each endpoint, as followers are sent it.

    Attributes:
        complete_from: Position from which on all removals are known: that of
            the last read of the whole table; ``None`` before it.
        keys_digest: Digest of the keys that the table has. Equal digests at two
            instances show that both know of the same endpoints.
    """

    def __init__(self) -> None:
        self.complete_from: int | None = None
        self.keys_digest = 0
        self._by_key: dict[str, leader_messages.EndpointRecord] = {}

    def update(
        self,
        records: Iterable[tables.TableRecord[resources.Endpoint]],
        end: int,
        *,
        is_full_read: bool,
    ) -> tuple[leader_messages.EndpointRecord, ...]:
        """Records what was read; returns the records that have changed.

        Args:
            records: The records.
            end: Offset up to which the table was read.
            is_full_read: Whether the whole table was read.
        """
        current = [_endpoint_record(record) for record in records]
        if is_full_read:
            present = {record.key for record in current}
            current.extend(self._removals(present, end))
            self.complete_from = max(end, self.complete_from or 0)
        changed: list[leader_messages.EndpointRecord] = []
        for record in current:
            # A page may have several records of a key.
            if self._is_changed(record):
                self._replace(record)
                changed.append(record)
        return tuple(changed)

    def _replace(self, record: leader_messages.EndpointRecord) -> None:
        known = self._by_key.get(record.key)
        was_there = known is not None and _is_present(known)
        if was_there != _is_present(record):
            key = record.key.encode(errors="surrogatepass")
            self.keys_digest ^= xxhash.xxh3_64_intdigest(key)
        self._by_key[record.key] = record

    def reject_unencodable(
        self, records: Iterable[leader_messages.EndpointRecord]
    ) -> tuple[leader_messages.EndpointRecord, ...]:
        """Replaces the records that can't be sent by unreadable ones.

        Returns:
            The records that can be sent.
        """
        sent: list[leader_messages.EndpointRecord] = []
        for record in records:
            if not _is_encodable(record):
                record = leader_messages.EndpointRecord(
                    record.key, record.offset, None, is_unreadable=True
                )
                self._replace(record)
            if _is_encodable(record):
                sent.append(record)
        return tuple(sent)

    def changed_since(
        self, offset: int
    ) -> tuple[leader_messages.EndpointRecord, ...]:
        """Returns the records that changed from an offset on."""
        return tuple(
            record
            for record in self._by_key.values()
            if record.offset >= offset
        )

    def _removals(
        self, present: Collection[str], end: int
    ) -> list[leader_messages.EndpointRecord]:
        """Returns removals that show only in a read of the whole table."""
        return [
            leader_messages.EndpointRecord(key, end - 1, None)
            for key, known in self._by_key.items()
            if key not in present and known.offset < end - 1
        ]

    def _is_changed(self, record: leader_messages.EndpointRecord) -> bool:
        known = self._by_key.get(record.key)
        if known is None:
            return True
        if record.offset <= known.offset:
            return False
        if epochs.split(record.offset).epoch > epochs.split(known.offset).epoch:
            # Followers may have read the restored table without it.
            return True
        return (record.endpoint, record.is_unreadable) != (
            known.endpoint,
            known.is_unreadable,
        )


def _is_present(record: leader_messages.EndpointRecord) -> bool:
    return record.endpoint is not None or record.is_unreadable


def _is_encodable(record: leader_messages.EndpointRecord) -> bool:
    update = leader_messages.EndpointUpdate((record,), record.offset)
    try:
        codec.encode(codec.Frame(codec.FrameKind.TELL, 0, update))
    except codec.UnencodableError as error:
        containment.report_failure("endpoint_record", error, key=record.key)
        return False
    return True


def _endpoint_record(
    record: tables.TableRecord[resources.Endpoint],
) -> leader_messages.EndpointRecord:
    endpoint = record.value
    if endpoint is not None and not isinstance(
        endpoint, registration.Registration
    ):
        endpoint = registration.Registration.from_endpoint(endpoint)
    return leader_messages.EndpointRecord(
        record.key, record.offset, endpoint, record.is_unreadable
    )
