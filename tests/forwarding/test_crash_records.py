"""Encoding of stored crash reports."""

from __future__ import annotations

import json

import pytest

from jujubewharf.forwarding import crash_records
from jujubewharf.forwarding import crash_reports
from jujubewharf.forwarding import fingerprints

REPORT = crash_reports.CrashReport(
    fingerprints.Fingerprint(fingerprints.Outline("acme", 2**64 - 1), b"\xff1"),
    "r\u00e9",
    (crash_reports.Crash("d1", 100.0), crash_reports.Crash("d2", 20.0)),
    7.0,
)


def test_ages_grow_by_the_time_since_writing():
    data = crash_records.encode(REPORT, wall_ms=5_000.0)
    read = crash_records.decode(data, wall_ms=6_000.0)
    assert read.fingerprint == REPORT.fingerprint
    assert read.label == REPORT.label
    assert [c.age_ms for c in read.crashes] == [1_100.0, 1_020.0]
    assert read.cleared_age_ms == 1_007.0


def test_clock_skew_does_not_reduce_ages():
    data = crash_records.encode(REPORT, wall_ms=9_000.0)
    assert crash_records.decode(data, wall_ms=5_000.0) == REPORT


@pytest.mark.parametrize(
    "data", [b"", b"[]", b"{}", b'{"digest": "zz"}', b"\xff\x00"]
)
def test_invalid_record_error_hides_the_input(data):
    with pytest.raises(ValueError) as caught:
        crash_records.decode(data, wall_ms=0.0)
    assert "zz" not in str(caught.value)


def test_non_hexadecimal_digest_is_an_error():
    data = crash_records.encode(REPORT, wall_ms=0.0)
    with pytest.raises(ValueError):
        crash_records.decode(data.replace(b"ff31", b"zz31"), wall_ms=0.0)


@pytest.mark.parametrize(
    "change",
    [
        {"shape": 2**64},
        {"shape": -1},
        {"written_unix_ms": float("nan")},
        {"written_unix_ms": 1e300},
        {"trials": 2**64},
        {"position": 2**64},
        {"trial_age_ms": float("inf")},
        {"label": "x" * 10_000},
        {"other": "x" * 100_000},
        {"crashes": [{"engine": "d1", "age_ms": 1e300}]},
        {"crashes": [{"engine": "d1", "age_ms": 1, "request": 2**64}]},
        {"crashes": [1] * 20_000},
    ],
)
def test_record_out_of_bounds_is_an_error(change):
    """Leaders send reports on; one that can't be sent ended them."""
    sound = json.loads(crash_records.encode(REPORT, wall_ms=5_000.0))
    with pytest.raises(ValueError) as caught:
        crash_records.decode(json.dumps(sound | change).encode(), wall_ms=0.0)
    assert len(str(caught.value)) < 1_000
