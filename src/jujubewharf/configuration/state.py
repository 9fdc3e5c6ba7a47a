"""The fold: configuration as a function of the log's records, in order.

Every instance folds the same records in the same order and so reaches the
same state and the same verdict on each change; racing operators get one
winner without any instance asking another.
"""

from __future__ import annotations

import dataclasses
import enum

from jujubewharf.configuration import border
from jujubewharf.configuration import records
from jujubewharf.configuration import resources
from jujubewharf.platform import log


class Outcome(enum.Enum):
    """The fold's verdict on one change."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"
    UNKNOWN_RECORD = "unknown_record"


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A resource in force.

    Attributes:
        generation: Offset of its change plus one; grows with each change.
        resource: The resource.
    """

    generation: int
    resource: resources.Resource


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """What became of one change."""

    operation_id: str
    offset: int
    outcome: Outcome
    detail: str = ""


Key = tuple[resources.Kind, str]


class State:
    """Configuration at one offset of the log.

    Attributes:
        next_offset: Offset of the next record to fold; it never goes down.
        entries: Resources in force.
        unknown: Records kept whole for newer versions.
    """

    def __init__(self) -> None:
        self.next_offset = 0
        self.entries: dict[Key, Entry] = {}
        self.unknown: list[log.LogRecord] = []

    def apply(self, record: log.LogRecord) -> Verdict:
        """Folds one record, which must be the next.

        Raises:
            ValueError: The record is not the next one.
        """
        if record.offset != self.next_offset:
            raise ValueError(
                f"record {record.offset} is not {self.next_offset}"
            )
        self.next_offset = record.offset + 1
        try:
            change = records.decode(record.payload)
            kind = resources.Kind(change.kind)
        except (records.UnknownRecordError, ValueError) as error:
            self.unknown.append(record)
            return Verdict(
                "", record.offset, Outcome.UNKNOWN_RECORD, str(error)
            )
        return self._apply_change(record.offset, kind, change)

    def get(self, kind: resources.Kind, name: str) -> Entry | None:
        """One resource in force."""
        return self.entries.get((kind, name))

    def of_kind(self, kind: resources.Kind) -> list[Entry]:
        """All resources of a kind, by name."""
        keys = sorted(
            (key for key in self.entries if key[0] is kind),
            key=lambda key: key[1],
        )
        return [self.entries[key] for key in keys]

    def _apply_change(
        self, offset: int, kind: resources.Kind, change: records.Change
    ) -> Verdict:
        key = (kind, change.name)
        held = self.entries.get(key)
        generation = held.generation if held else 0
        expected = change.expected_generation
        if expected is not None and expected != generation:
            detail = f"generation is {generation}, not {expected}"
            return Verdict(
                change.operation_id, offset, Outcome.CONFLICT, detail
            )
        if change.verb is records.Verb.DELETE:
            self.entries.pop(key, None)
            return Verdict(change.operation_id, offset, Outcome.ACCEPTED)
        parsed = border.parse(kind, change.body)
        if parsed.is_err():
            detail = "; ".join(parsed.unwrap_err())
            return Verdict(change.operation_id, offset, Outcome.INVALID, detail)
        self.entries[key] = Entry(offset + 1, parsed.unwrap())
        return Verdict(change.operation_id, offset, Outcome.ACCEPTED)
