"""The fold: one verdict for each record, the same for everyone."""

from __future__ import annotations

import msgpack
import pytest

from jujubewharf.configuration import resources
from jujubewharf.configuration import state as states
from tests.configuration import making

ACCEPTED = states.Outcome.ACCEPTED
CONFLICT = states.Outcome.CONFLICT
INVALID = states.Outcome.INVALID
UNSAFE = states.Outcome.UNSAFE


def _outcomes(state: states.State, *changes) -> list[states.Outcome]:
    return [verdict.outcome for verdict in making.fold(state, *changes)]


@pytest.fixture
def pool() -> states.State:
    """Two engines that do both jobs."""
    state = states.State()
    made = [making.SERVICE, making.engine("e1"), making.engine("e2")]
    making.fold(state, *[making.put(one) for one in made])
    return state


def test_racing_changes_get_one_winner_and_a_conflict_that_names_it():
    state = states.State()
    first, second = making.fold(
        state,
        making.put(making.SERVICE, expected_generation=0),
        making.put(making.SERVICE, expected_generation=0),
    )
    assert first.outcome is ACCEPTED
    assert second.outcome is CONFLICT
    assert "generation is 1" in second.detail


def test_operators_can_not_jointly_empty_a_pool(pool):
    """Each of two operators drains one of the last two engines at once.

    Both saw a pool of two, so both changes looked safe where they were
    asked for. Log order decides: the second would empty the pool and is
    refused by everyone.
    """
    drains = [
        making.put(making.engine(name, drained=True), expected_generation=seen)
        for name, seen in (("e1", 2), ("e2", 3))
    ]
    assert _outcomes(pool, *drains) == [ACCEPTED, UNSAFE]


@pytest.mark.parametrize(
    "change",
    [
        making.put(making.engine("e2", role=resources.Role.PREFILL)),
        making.put(making.engine("e2", model="other")),
        making.put(making.engine("e2", service="elsewhere")),
        making.delete(making.engine("e2")),
    ],
    ids=["role", "model", "service", "delete"],
)
def test_the_last_fitting_endpoint_stays_unless_forced(pool, change):
    making.fold(pool, making.delete(making.engine("e1")))
    assert _outcomes(pool, change) == [UNSAFE]
    forced = {"operation_id": "forced", "force": True}
    again = change.__class__(
        **{f: getattr(change, f) for f in change.__slots__} | forced
    )
    assert _outcomes(pool, again) == [ACCEPTED]


def test_what_is_referenced_is_not_deleted(pool):
    model = resources.Model("judge")
    making.fold(pool, making.put(model))
    deletes = [making.delete(model), making.delete(making.SERVICE)]
    assert _outcomes(pool, *deletes) == [UNSAFE, UNSAFE]


def test_the_last_admin_stays():
    admin = resources.Operator("a", "0" * 64, resources.OperatorRole.ADMIN)
    other = resources.Operator("b", "1" * 64, resources.OperatorRole.ADMIN)
    state = states.State()
    making.fold(state, making.put(admin), making.put(other))
    deletes = [making.delete(admin), making.delete(other)]
    assert _outcomes(state, *deletes) == [ACCEPTED, UNSAFE]


def test_a_token_belongs_to_one_account():
    state = states.State()
    one, two = (resources.Account(name, "0" * 64) for name in ("a", "b"))
    assert _outcomes(state, making.put(one), making.put(two)) == [
        ACCEPTED,
        INVALID,
    ]
    assert state.account_of_token("0" * 64) == one
    making.fold(state, making.delete(one))
    assert state.account_of_token("0" * 64) is None


def test_an_operation_that_stands_twice_on_the_log_counts_once(pool):
    """A lost answer makes a tool send its operation through two instances.

    Between the two copies another operator changed the engine. The second
    copy must not set that change back, and it gets the first one's verdict.
    """
    drain = making.put(making.engine("e1", drained=True), operation_id="x")
    undo = making.put(making.engine("e1"))
    first, _, again = making.fold(pool, drain, undo, drain)
    assert again == first
    assert not pool.get(resources.Kind.ENDPOINT, "e1").resource.drained
    other = making.put(making.engine("e2", drained=True), operation_id="x")
    assert _outcomes(pool, other) == [CONFLICT]


def test_a_field_of_a_newer_version_is_carried_along(pool):
    extra = {"zone_weight": 3, "capabilities": {"kv_export": False, "fp4": 1}}
    change = making.put(making.engine("e1"), extra=extra)
    assert _outcomes(pool, change) == [ACCEPTED]
    entry = pool.get(resources.Kind.ENDPOINT, "e1")
    assert not entry.resource.capabilities.kv_export
    body = entry.body()
    assert body["zone_weight"] == 3
    assert body["capabilities"]["fp4"] == 1
    assert body["capabilities"]["kv_import"] is True


def test_unknown_records_are_kept_whole_and_garbage_is_dropped(pool):
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
        verdict = making.fold_bytes(pool, payload)
        assert verdict.outcome is states.Outcome.UNKNOWN_RECORD
    assert [record.payload for record in pool.unknown] == [kind, newer]
    for payload in (b"", b"\xc1", msgpack.packb([1]), msgpack.packb({})):
        verdict = making.fold_bytes(pool, payload)
        assert verdict.outcome is states.Outcome.MALFORMED
    assert len(pool.unknown) == 2


def test_a_version_without_the_rules_stays_before_them(pool):
    offset = pool.next_offset
    with pytest.raises(states.RulesTooNewError):
        making.fold(pool, making.rules(2))
    assert pool.next_offset == offset
    assert pool.rules_version == 1


def test_endpoints_of_a_service_follow_moves():
    state = states.State()
    making.fold(state, making.put(making.engine("e1")))
    assert [e.name for e in state.endpoints_of("verdict-llm")] == ["e1"]
    making.fold(state, making.put(making.engine("e1", service="other")))
    assert state.endpoints_of("verdict-llm") == ()
    assert [e.name for e in state.endpoints_of("other")] == ["e1"]


def test_a_switch_of_rules_that_stands_twice_on_the_log_counts_once():
    """The switch's answer was lost and a tool sent it again.

    The second copy finds the rules in force already. It must get the first
    copy's verdict: the operation was accepted, and stays so for who asks.
    """
    state = states.State(newest_rules=2)
    change = making.rules(2)
    first, again = making.fold(state, change, change)
    assert first.outcome is ACCEPTED
    assert again == first
    assert state.history.find(change.operation_id).verdict == first
