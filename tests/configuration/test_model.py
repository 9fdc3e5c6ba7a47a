"""Model test: instances at the same offset have the same state.

Hypothesis drives three instances through reads, restarts, checkpoints,
truncation, synchronization with peers, duplicates and records of newer
versions, and compares their states with a reference. Further tests disable
single safeguards, which the model has to detect.
"""

from __future__ import annotations

import dataclasses
import itertools

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from jujubewharf.configuration import records
from jujubewharf.configuration import replica as replicas
from jujubewharf.configuration import resources
from jujubewharf.configuration import snapshot as snapshots
from jujubewharf.configuration import state as states
from jujubewharf.platform import log as logs
from tests.configuration import builders

ENGINES = ("e1", "e2", "e3")
INSTANCES = (0, 1, 2)
NEWEST_RULES = (1, 1, 2)

CHANGES = st.builds(
    lambda verb, name, drained, expected: (
        builders.delete(builders.engine(name), expected_generation=expected)
        if verb == "delete"
        else builders.put(
            builders.engine(name, drained=drained), expected_generation=expected
        )
    ),
    st.sampled_from(["put", "put", "delete"]),
    st.sampled_from(ENGINES),
    st.booleans(),
    st.one_of(st.none(), st.integers(0, 8)),
)
INSTANCE = st.sampled_from(INSTANCES)


class Fleet(stateful.RuleBasedStateMachine):
    """Three instances and a log that is truncated up to checkpoints."""

    def __init__(self) -> None:
        super().__init__()
        self.payloads: list[bytes] = []
        self.first_offset = 0
        self.reference = states.State(newest_rules_version=2)
        self.digests = {0: snapshots.digest(self.reference)}
        self.verdicts: dict[str, states.Verdict] = {}
        self.replicas = [self.make(index) for index in INSTANCES]
        self.last_offsets = [0 for _ in INSTANCES]
        self.checked: list[object] = [None for _ in INSTANCES]
        self.checkpoints: list[snapshots.Snapshot] = []
        self.append(records.encode(builders.put(builders.SERVICE)))

    def make(self, index: int) -> replicas.Replica:
        state = states.State(newest_rules_version=NEWEST_RULES[index])
        return replicas.Replica(state)

    def append(self, payload: bytes) -> None:
        offset = len(self.payloads)
        self.payloads.append(payload)
        verdict = self.reference.apply(logs.LogRecord(offset, payload))
        self.digests[offset + 1] = snapshots.digest(self.reference)
        self.verdicts.setdefault(verdict.operation_id, verdict)

    @stateful.rule(change=CHANGES)
    def operator_changes(self, change):
        self.append(records.encode(change))

    @stateful.rule(back=st.integers(1, 6))
    def operator_repeats(self, back):
        self.append(self.payloads[-min(back, len(self.payloads))])

    @stateful.rule(change=CHANGES, version=st.integers(2, 3))
    def newer_version_writes(self, change, version):
        newer = dataclasses.replace(change, schema_version=version)
        self.append(records.encode(newer))

    @stateful.rule()
    def garbage_is_appended(self):
        self.append(b"\xc1")

    @stateful.precondition(lambda self: len(self.payloads) > 4)
    @stateful.rule()
    def newer_rules_come_into_force(self):
        self.append(records.encode(builders.rules(2)))

    @stateful.rule(index=INSTANCE, limit=st.integers(1, 12))
    def reads(self, index, limit):
        offset = self.replicas[index].next_offset
        start = max(offset, self.first_offset)
        page = [
            logs.LogRecord(place, payload)
            for place, payload in enumerate(self.payloads[: start + limit])
            if place >= start
        ]
        self.replicas[index].apply_records(page)

    @stateful.rule(index=INSTANCE)
    def restarts(self, index):
        self.replicas[index] = self.make(index)
        self.last_offsets[index] = 0

    @stateful.rule(index=INSTANCE, truncates=st.booleans())
    def writes_checkpoint(self, index, truncates):
        self.checkpoints.append(snapshots.encode(self.replicas[index].current))
        if truncates:
            newest = max(one.next_offset for one in self.checkpoints)
            self.first_offset = max(self.first_offset, newest)

    @stateful.precondition(lambda self: self.checkpoints)
    @stateful.rule(index=INSTANCE, data=st.data())
    def loads_checkpoint(self, index, data):
        self.adopt(index, data.draw(st.sampled_from(self.checkpoints)))

    @stateful.rule(index=INSTANCE, other=INSTANCE)
    def takes_peers_state(self, index, other):
        self.adopt(index, snapshots.encode(self.replicas[other].current))

    @stateful.rule(index=INSTANCE, other=INSTANCE, limit=st.integers(1, 6))
    def takes_peers_records(self, index, other, limit):
        offset = self.replicas[index].next_offset
        self.replicas[index].apply_records(
            self.replicas[other].recent_records(offset, limit)
        )

    def adopt(self, index: int, snapshot: snapshots.Snapshot) -> None:
        replica = self.replicas[index]
        rules = replica.current.newest_rules_version
        try:
            state = snapshots.decode(snapshot, newest_rules_version=rules)
        except snapshots.InvalidSnapshotError:
            assert rules == 1
            return
        replica.adopt(state, source="test")

    @stateful.invariant()
    def one_offset_one_state(self):
        for index, replica in enumerate(self.replicas):
            now = (replica.current, replica.next_offset)
            if now != self.checked[index]:
                self.checked[index] = now
                found = snapshots.digest(replica.current)
                assert found == self.digests[replica.next_offset]

    @stateful.invariant()
    def no_offset_goes_down(self):
        for index, replica in enumerate(self.replicas):
            assert replica.next_offset >= self.last_offsets[index]
            self.last_offsets[index] = replica.next_offset

    @stateful.invariant()
    def one_operation_one_verdict(self):
        for replica in self.replicas:
            for item in replica.current.history:
                found = item.verdict
                assert found == self.verdicts[found.operation_id]


def _settings(examples: int) -> hypothesis.settings:
    return hypothesis.settings(
        max_examples=examples,
        stateful_step_count=40,
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )


def test_instances_at_the_same_offset_have_the_same_state():
    stateful.run_state_machine_as_test(Fleet, settings=_settings(150))


class _SkipsGap(replicas.Replica):
    def apply_records(self, found):
        found = list(found)
        if found and found[0].offset > self.next_offset:
            self.current.next_offset = found[0].offset
        return super().apply_records(found)


class _AdoptsOlderState(replicas.Replica):
    def adopt(self, state, *, source):
        del source
        self.current = state
        return True


class _AppliesByOldRules(replicas.Replica):
    def apply_records(self, found):
        count = super().apply_records(found)
        if self.is_frozen:
            self.is_frozen = False
            self.current.next_offset += 1
        return count


def _without_history(item):
    del item
    return [snapshots._HISTORY, "x", 0, "accepted", "", "", 0.0, "put", "", ""]


@pytest.mark.parametrize(
    "weakened",
    [_SkipsGap, _AdoptsOlderState, _AppliesByOldRules, "history"],
    ids=["gap", "lower offset", "old rules", "history"],
)
def test_model_detects_a_missing_safeguard(monkeypatch, weakened):
    """The model test fails if any single safeguard is disabled."""
    if weakened == "history":
        monkeypatch.setattr(snapshots, "_encode_history_item", _without_history)
    else:
        monkeypatch.setattr(replicas, "Replica", weakened)
    with pytest.raises((AssertionError, KeyError, ValueError)):
        settings = hypothesis.settings(
            _settings(600), phases=[hypothesis.Phase.generate]
        )
        stateful.run_state_machine_as_test(Fleet, settings=settings)


def _race(seen: int) -> list[list[records.Change]]:
    """Two changes of each of three operators, based on the same state."""
    kind = {"expected_generation": seen}
    return [
        [
            builders.put(builders.engine("e1", drained=True), **kind),
            builders.put(builders.engine("e1", slots=1)),
        ],
        [
            builders.put(builders.engine("e1", slots=2), **kind),
            builders.delete(builders.engine("e2")),
        ],
        [
            builders.put(builders.engine("e2", drained=True)),
            builders.put(builders.engine("e1", slots=3), **kind),
        ],
    ]


def _interleavings(operators: list[list[records.Change]]):
    order = [i for i, own in enumerate(operators) for _ in own]
    for chosen in sorted(set(itertools.permutations(order))):
        queues = [iter(own) for own in operators]
        yield [next(queues[index]) for index in chosen]


def test_every_interleaving_has_at_most_one_winner_and_one_state():
    """All 90 orders are applied, with a snapshot restored at each position.

    At most one change with the same expected generation is accepted, and the
    last engine is never drained or deleted.
    """
    operators = _race(2)
    by_generation = {
        change.operation_id
        for own in operators
        for change in own
        if change.expected_generation is not None
    }
    count = 0
    for changes in _interleavings(operators):
        count += 1
        digests = set()
        for cut in range(len(changes) + 1):
            state = states.State()
            made = [
                builders.SERVICE,
                builders.engine("e1"),
                builders.engine("e2"),
            ]
            for index, one in enumerate(made):
                builders.apply_changes(
                    state, builders.put(one, operation_id=f"made-{index}")
                )
            verdicts = builders.apply_changes(state, *changes[:cut])
            state = snapshots.decode(
                snapshots.encode(state), newest_rules_version=1
            )
            verdicts += builders.apply_changes(state, *changes[cut:])
            digests.add(snapshots.digest(state))
            winners = [
                verdict
                for verdict in verdicts
                if verdict.is_accepted and verdict.operation_id in by_generation
            ]
            assert len(winners) <= 1
            assert any(
                not endpoint.drained
                for endpoint in state.endpoints_of("verdict-llm")
            )
            kind = resources.Kind.ENDPOINT
            assert state.get(kind, "e1") is not None
        assert len(digests) == 1
    assert count == 90
