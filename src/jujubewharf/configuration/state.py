"""The configuration state, built by applying the log's records in order.

All instances apply the same records in the same order. They reach the same
state and the same verdict on each change, also on concurrent ones, without
coordination.
"""

from __future__ import annotations

from typing import Any

from jujubewharf.configuration import entries as entries_lib
from jujubewharf.configuration import history as histories
from jujubewharf.configuration import records
from jujubewharf.configuration import resources
from jujubewharf.configuration import rules
from jujubewharf.configuration import verdicts
from jujubewharf.platform import log

Entry = entries_lib.Entry
Key = entries_lib.Key
Outcome = verdicts.Outcome
Verdict = verdicts.Verdict


class RulesTooNewError(Exception):
    """The next record activates rules unknown to this version.

    With the old rules, verdicts could differ from those of the rest of the
    fleet, so no further records are applied.
    """


class State:
    """Configuration at one offset of the log.

    Args:
        newest_rules_version: Newest rules version that this program supports.

    Attributes:
        next_offset: Offset of the next record to apply; never decreases.
        rules_version: Version of the rules in force.
        history: The latest changes and their verdicts.
        unknown_records: Records kept until newer rules are in force.
    """

    def __init__(
        self, *, newest_rules_version: int = rules.NEWEST_VERSION
    ) -> None:
        self.next_offset = 0
        self.rules_version = rules.FIRST_VERSION
        self.history = histories.History()
        self.unknown_records: list[log.LogRecord] = []
        self._newest_rules_version = newest_rules_version
        self._entries = entries_lib.Entries()

    def __repr__(self) -> str:
        return f"State(next_offset={self.next_offset}, entries={len(self)})"

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def entries(self) -> entries_lib.Entries:
        """Resources in force."""
        return self._entries

    def get(self, kind: resources.Kind, name: str) -> Entry | None:
        """Returns the entry of a resource; ``None`` if it does not exist."""
        return self._entries.get((kind, name))

    def of_kind(self, kind: resources.Kind) -> list[Entry]:
        """Returns all resources of a kind, sorted by name."""
        return self._entries.of_kind(kind)

    def endpoints_of(self, service: str) -> tuple[resources.Endpoint, ...]:
        """Returns the endpoints of a service, sorted by name."""
        return self._entries.endpoints_of(service)

    def account_of_token(self, token_sha256: str) -> resources.Account | None:
        """Returns the account with this token."""
        kind = resources.Kind.ACCOUNT
        name = self._entries.find_token_owner(kind, token_sha256)
        entry = self.get(kind, name) if name is not None else None
        if entry is None or not isinstance(entry.resource, resources.Account):
            return None
        return entry.resource

    def operator_of_token(self, token_sha256: str) -> resources.Operator | None:
        """Returns the operator with this token."""
        kind = resources.Kind.OPERATOR
        name = self._entries.find_token_owner(kind, token_sha256)
        entry = self.get(kind, name) if name is not None else None
        if entry is None or not isinstance(entry.resource, resources.Operator):
            return None
        return entry.resource

    def apply(self, record: log.LogRecord) -> Verdict:
        """Applies the next record.

        Returns:
            The verdict on the record.

        Raises:
            ValueError: The record is not the next one.
            RulesTooNewError: The record requires rules unknown to this
                version; the state is unchanged.
        """
        if record.offset != self.next_offset:
            raise ValueError(
                f"record has offset {record.offset},"
                f" expected {self.next_offset}"
            )
        verdict = self._apply_record(record)
        self.next_offset = record.offset + 1
        return verdict

    def replace_with(self, other: State) -> None:
        """Replaces this state by the content of another one.

        Raises:
            ValueError: The other state has a lower offset.
        """
        if other.next_offset < self.next_offset:
            raise ValueError(f"{other} is older than {self}")
        self.next_offset = other.next_offset
        self.rules_version = other.rules_version
        self.history = other.history
        self.unknown_records = other.unknown_records
        self._entries = other.entries

    @property
    def newest_rules_version(self) -> int:
        """Newest rules version that this program supports."""
        return self._newest_rules_version

    def _apply_record(self, record: log.LogRecord) -> Verdict:
        offset = record.offset
        try:
            change = records.decode(
                record.payload, rules_version=self.rules_version
            )
        except records.UnknownRecordError as error:
            return self._keep_unknown(record, str(error))
        except records.MalformedRecordError as error:
            return Verdict("", offset, Outcome.MALFORMED, str(error))
        earlier = self.history.find(change.operation_id)
        if earlier is not None:
            return _duplicate_verdict(offset, change, earlier)
        if change.verb is records.Verb.RULES:
            return self._change_rules(offset, change)
        if change.kind not in resources.Kind._value2member_map_:
            return self._keep_unknown(record, f"kind {change.kind}")
        return self._apply_change(offset, resources.Kind(change.kind), change)

    def _keep_unknown(self, record: log.LogRecord, detail: str) -> Verdict:
        self.unknown_records.append(record)
        return Verdict("", record.offset, Outcome.UNKNOWN_RECORD, detail)

    def _change_rules(self, offset: int, change: records.Change) -> Verdict:
        wanted = change.body.get("version")
        if not isinstance(wanted, int) or wanted <= self.rules_version:
            detail = f"rules {self.rules_version} are in force"
            return self._add_to_history(
                _history_item(offset, change, Outcome.CONFLICT, detail=detail)
            )
        if wanted > self._newest_rules_version:
            raise RulesTooNewError(
                f"rules version {wanted} required by record at offset {offset}"
            )
        self.rules_version = wanted
        verdict = self._add_to_history(
            _history_item(offset, change, Outcome.ACCEPTED)
        )
        self._apply_kept()
        return verdict

    def _apply_kept(self) -> None:
        kept, self.unknown_records = self.unknown_records, []
        for record in kept:
            self._apply_record(record)

    def _apply_change(
        self, offset: int, kind: resources.Kind, change: records.Change
    ) -> Verdict:
        evaluation = rules.evaluate(self._entries, kind, change)
        if evaluation.is_err():
            rejection = evaluation.unwrap_err()
            return self._add_to_history(
                _history_item(
                    offset, change, rejection.outcome, detail=rejection.detail
                )
            )
        key = (kind, change.name)
        before = self._entries.get(key)
        decoded_body = evaluation.unwrap()
        after: Entry | None = None
        if decoded_body is None:
            self._entries.remove(key)
        else:
            after = Entry.from_body(offset + 1, decoded_body)
            self._entries.put(key, after)
        return self._add_to_history(
            _history_item(
                offset, change, Outcome.ACCEPTED, before=before, after=after
            )
        )

    def _add_to_history(self, item: histories.HistoryItem) -> Verdict:
        self.history.add(item)
        return item.verdict


def _duplicate_verdict(
    offset: int, change: records.Change, earlier: histories.HistoryItem
) -> Verdict:
    # A client that got no reply may submit the operation again. The duplicate
    # must not revert a change made in between.
    if earlier.change_digest == change.digest():
        return earlier.verdict
    detail = "the operation id was used for another change"
    return Verdict(change.operation_id, offset, Outcome.CONFLICT, detail)


def _history_item(
    offset: int,
    change: records.Change,
    outcome: Outcome,
    *,
    detail: str = "",
    before: Entry | None = None,
    after: Entry | None = None,
) -> histories.HistoryItem:
    fields: dict[str, Any] = {}
    if before is not None:
        fields["generation_before"] = before.generation
        fields["before_packed"] = before.packed_body()
    if after is not None:
        fields["after_packed"] = after.packed_body()
    return histories.HistoryItem(
        verdict=Verdict(change.operation_id, offset, outcome, detail),
        actor=change.actor,
        wall_ms=change.wall_ms,
        verb=change.verb,
        kind=change.kind,
        name=change.name,
        change_digest=change.digest(),
        **fields,
    )
