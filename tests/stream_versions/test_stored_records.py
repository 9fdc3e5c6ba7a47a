"""Records of streams in the store, also those that others have damaged."""

from __future__ import annotations

import random

import msgpack
import pytest

from jujubewharf.stream_versions import origins
from jujubewharf.stream_versions import stored_records

_NOW_MS = 1_000.0


def _record(key: bytes, version: str | None) -> origins.OriginRecord:
    return origins.OriginRecord(key, "s", version, _NOW_MS, _NOW_MS + 60_000.0)


def test_streams_are_read_as_they_were_written():
    records = [_record(b"a", "v1"), _record(b"b", "v2"), _record(b"c", None)]
    value = stored_records.encode_streams(records, now_ms=_NOW_MS)
    stored = stored_records.decode(value)
    assert isinstance(stored, stored_records.StoredStreams)
    found = {key: origin.version for key, origin in stored.origins.items()}
    assert found == {b"a": "v1", b"b": "v2", b"c": None}
    assert stored.keep_ms == 60_000.0


def test_versions_are_read_as_they_were_written():
    stored = stored_records.StoredVersions(
        frozenset({("s", "v1"), ("t", "v2")}), is_complete=True, epoch=3
    )
    value = stored_records.encode_versions(stored)
    assert stored_records.decode(value) == stored


# A damaged record ended the read, and with it all that it would have told.
def test_damaged_records_are_refused_as_invalid():
    rng = random.Random(1)
    records = [_record(b"a" * 16, "v1"), _record(b"b" * 16, "v2")]
    whole = stored_records.encode_streams(records, now_ms=_NOW_MS)
    for _ in range(2_000):
        damaged = bytearray(whole)
        for _ in range(rng.randint(1, 4)):
            damaged[rng.randrange(len(damaged))] = rng.randrange(256)
        try:
            stored_records.decode(bytes(damaged[: rng.randrange(len(whole))]))
        except ValueError:
            continue


@pytest.mark.parametrize(
    "fields",
    [
        [],
        {"began": [{"service": "s", "version": "v", "keys": [b"x" * 65]}]},
        {"keep_ms": float("nan")},
        {"versions": [["s"]]},
        {"versions": [["s", "v"]], "epoch": -1},
    ],
)
def test_values_out_of_bounds_are_refused(fields):
    with pytest.raises(ValueError):
        stored_records.decode(msgpack.packb(fields))
