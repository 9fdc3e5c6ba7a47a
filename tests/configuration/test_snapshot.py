"""Snapshots preserve the whole state, and damaged ones are rejected."""

from __future__ import annotations

import dataclasses
import zlib

import msgpack
import pytest

from jujubewharf.configuration import resources
from jujubewharf.configuration import snapshot as snapshots
from jujubewharf.configuration import state as states
from tests.configuration import builders


def _state() -> states.State:
    state = states.State()
    builders.apply_changes(
        state,
        builders.put(builders.SERVICE),
        builders.put(builders.engine("e1"), extra={"zone_weight": 3}),
        builders.put(builders.engine("e2"), expected_generation=7),
        builders.put(resources.Account("a", "0" * 64), operation_id="op-a"),
    )
    builders.apply_bytes(state, msgpack.packb({"schema_version": 9}))
    return state


def _read(snapshot: snapshots.Snapshot) -> states.State:
    return snapshots.decode(snapshot, newest_rules_version=1)


def test_decoded_snapshot_equals_the_state():
    state = _state()
    copy = _read(snapshots.encode(state))
    assert snapshots.digest(copy) == snapshots.digest(state)
    assert copy.next_offset == state.next_offset
    assert copy.unknown_records == state.unknown_records
    assert list(copy.history) == list(state.history)
    kind = resources.Kind.ENDPOINT
    assert copy.get(kind, "e1") == state.get(kind, "e1")
    assert copy.account_of_token("0" * 64).name == "a"
    assert copy.endpoints_of("verdict-llm") == state.endpoints_of("verdict-llm")


def test_digest_is_independent_of_insertion_order():
    """A decoded state has sorted entries, unlike the original."""
    state = states.State()
    for name in ("e2", "e1"):
        builders.apply_changes(state, builders.put(builders.engine(name)))
    copy = _read(snapshots.encode(state))
    change = builders.put(builders.engine("e0"))
    for one in (state, copy):
        builders.apply_changes(one, change)
    assert snapshots.digest(copy) == snapshots.digest(state)
    builders.apply_changes(copy, builders.put(builders.engine("e0", slots=1)))
    builders.apply_changes(state, builders.put(builders.engine("e0", slots=2)))
    assert snapshots.digest(copy) != snapshots.digest(state)


def test_large_state_is_split_into_chunks():
    state = states.State()
    builders.apply_changes(
        state,
        *(builders.put(builders.engine(f"e{i}")) for i in range(1_000)),
    )
    snapshot = snapshots.encode(state)
    assert len(snapshot.chunks) > 5
    copy = _read(snapshot)
    assert snapshots.digest(copy) == snapshot.digest
    missing = dataclasses.replace(snapshot, chunks=snapshot.chunks[:-1])
    with pytest.raises(snapshots.InvalidSnapshotError):
        _read(missing)


@pytest.mark.parametrize(
    "chunk",
    [
        b"",
        b"not compressed",
        zlib.compress(b""),
        zlib.compress(b"\xc1"),
        zlib.compress(msgpack.packb([9, "item"])),
        zlib.compress(msgpack.packb([0, 2, 5, 1])),
        zlib.compress(msgpack.packb([0, 1, 5, 2])),
        zlib.compress(b"\0" * 50_000_000),
    ],
    ids=["empty", "raw", "none", "bytes", "item", "format", "rules", "bomb"],
)
def test_damaged_and_newer_snapshots_are_rejected(chunk):
    snapshot = dataclasses.replace(snapshots.encode(_state()), chunks=(chunk,))
    with pytest.raises(snapshots.InvalidSnapshotError):
        _read(snapshot)
