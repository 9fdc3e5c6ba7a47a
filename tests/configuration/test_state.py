"""Verdicts of the state on applied records."""

from __future__ import annotations

import msgpack
import pytest

from jujubewharf.configuration import resources
from jujubewharf.configuration import state as states
from tests.configuration import builders

ACCEPTED = states.Outcome.ACCEPTED
CONFLICT = states.Outcome.CONFLICT
INVALID = states.Outcome.INVALID
UNSAFE = states.Outcome.UNSAFE


def _outcomes(state: states.State, *changes) -> list[states.Outcome]:
    return [
        verdict.outcome for verdict in builders.apply_changes(state, *changes)
    ]


@pytest.fixture
def pool() -> states.State:
    """State with two engines for both prefill and decode."""
    state = states.State()
    initial = [builders.SERVICE, builders.engine("e1"), builders.engine("e2")]
    builders.apply_changes(state, *[builders.put(one) for one in initial])
    return state


def test_second_of_two_concurrent_changes_conflicts():
    state = states.State()
    first, second = builders.apply_changes(
        state,
        builders.put(builders.SERVICE, expected_generation=0),
        builders.put(builders.SERVICE, expected_generation=0),
    )
    assert first.outcome is ACCEPTED
    assert second.outcome is CONFLICT
    assert "generation is 1" in second.detail


def test_concurrent_drains_can_not_empty_a_pool(pool):
    """Two operators drain one of the last two engines each.

    Both changes were safe when submitted; the second one must be rejected.
    """
    drains = [
        builders.put(
            builders.engine(name, drained=True), expected_generation=generation
        )
        for name, generation in (("e1", 2), ("e2", 3))
    ]
    assert _outcomes(pool, *drains) == [ACCEPTED, UNSAFE]


@pytest.mark.parametrize(
    "change",
    [
        builders.put(builders.engine("e2", role=resources.Role.PREFILL)),
        builders.put(builders.engine("e2", model="other")),
        builders.put(builders.engine("e2", service="elsewhere")),
        builders.delete(builders.engine("e2")),
    ],
    ids=["role", "model", "service", "delete"],
)
def test_last_suitable_endpoint_is_only_removed_by_force(pool, change):
    builders.apply_changes(pool, builders.delete(builders.engine("e1")))
    assert _outcomes(pool, change) == [UNSAFE]
    forced = {"operation_id": "forced", "force": True}
    again = change.__class__(
        **{f: getattr(change, f) for f in change.__slots__} | forced
    )
    assert _outcomes(pool, again) == [ACCEPTED]


def test_referenced_resources_can_not_be_deleted(pool):
    model = resources.Model("judge")
    builders.apply_changes(pool, builders.put(model))
    deletes = [builders.delete(model), builders.delete(builders.SERVICE)]
    assert _outcomes(pool, *deletes) == [UNSAFE, UNSAFE]


def test_last_admin_can_not_be_deleted():
    admin = resources.Operator("a", "0" * 64, resources.OperatorRole.ADMIN)
    other = resources.Operator("b", "1" * 64, resources.OperatorRole.ADMIN)
    state = states.State()
    builders.apply_changes(state, builders.put(admin), builders.put(other))
    deletes = [builders.delete(admin), builders.delete(other)]
    assert _outcomes(state, *deletes) == [ACCEPTED, UNSAFE]


def test_token_is_unique_among_accounts():
    state = states.State()
    one, two = (resources.Account(name, "0" * 64) for name in ("a", "b"))
    assert _outcomes(state, builders.put(one), builders.put(two)) == [
        ACCEPTED,
        INVALID,
    ]
    assert state.account_of_token("0" * 64) == one
    builders.apply_changes(state, builders.delete(one))
    assert state.account_of_token("0" * 64) is None


def test_duplicate_operation_is_applied_once(pool):
    """A duplicate must not revert a change of another operator in between.

    It receives the verdict on the first copy.
    """
    drain = builders.put(builders.engine("e1", drained=True), operation_id="x")
    revert = builders.put(builders.engine("e1"))
    first, _, again = builders.apply_changes(pool, drain, revert, drain)
    assert again == first
    assert not pool.get(resources.Kind.ENDPOINT, "e1").resource.drained
    other = builders.put(builders.engine("e2", drained=True), operation_id="x")
    assert _outcomes(pool, other) == [CONFLICT]


def test_fields_of_newer_versions_are_preserved(pool):
    extra = {"zone_weight": 3, "capabilities": {"kv_export": False, "fp4": 1}}
    change = builders.put(builders.engine("e1"), extra=extra)
    assert _outcomes(pool, change) == [ACCEPTED]
    entry = pool.get(resources.Kind.ENDPOINT, "e1")
    assert not entry.resource.capabilities.kv_export
    body = entry.body()
    assert body["zone_weight"] == 3
    assert body["capabilities"]["fp4"] == 1
    assert body["capabilities"]["kv_import"] is True


def test_unknown_records_are_kept_and_malformed_ones_dropped(pool):
    kind = msgpack.packb(
        {
            "schema_version": 1,
            "operation_id": "q",
            "actor": "ana",
            "verb": "put",
            "kind": "quota",
            "name": "q",
            "expected_generation": None,
            "body": {},
        }
    )
    newer = msgpack.packb({"schema_version": 9, "anything": [1]})
    for payload in (kind, newer):
        verdict = builders.apply_bytes(pool, payload)
        assert verdict.outcome is states.Outcome.UNKNOWN_RECORD
    assert [record.payload for record in pool.unknown_records] == [kind, newer]
    for payload in (b"", b"\xc1", msgpack.packb([1]), msgpack.packb({})):
        verdict = builders.apply_bytes(pool, payload)
        assert verdict.outcome is states.Outcome.MALFORMED
    assert len(pool.unknown_records) == 2


def test_record_with_unsupported_rules_is_not_applied(pool):
    offset = pool.next_offset
    with pytest.raises(states.RulesTooNewError):
        builders.apply_changes(pool, builders.rules(2))
    assert pool.next_offset == offset
    assert pool.rules_version == 1


def test_endpoints_of_service_are_updated_when_one_moves():
    state = states.State()
    builders.apply_changes(state, builders.put(builders.engine("e1")))
    assert [e.name for e in state.endpoints_of("verdict-llm")] == ["e1"]
    builders.apply_changes(
        state, builders.put(builders.engine("e1", service="other"))
    )
    assert state.endpoints_of("verdict-llm") == ()
    assert [e.name for e in state.endpoints_of("other")] == ["e1"]


def test_duplicate_rules_change_gets_the_first_verdict():
    """A duplicate must not be rejected because its rules are in force."""
    state = states.State(newest_rules_version=2)
    change = builders.rules(2)
    first, again = builders.apply_changes(state, change, change)
    assert first.outcome is ACCEPTED
    assert again == first
    assert state.history.find(change.operation_id).verdict == first
