"""Encodes crash reports as JSON for the store, with the time of writing."""

from __future__ import annotations

from typing import Annotated

import pydantic

from jujubewharf.forwarding import crash_reports
from jujubewharf.forwarding import fingerprints
from jujubewharf.platform import record_fields as fields

_MAX_RECORD_BYTES = 65_536
# Hashes, and numbers that writers draw, have 64 bits.
_Hash = Annotated[int, pydantic.Field(ge=0, lt=2**64)]


class _Crash(pydantic.BaseModel):
    engine: fields.Text
    age_ms: fields.Duration
    request: _Hash = 0


class _Record(pydantic.BaseModel):
    """A crash report; ages are relative to the time of writing."""

    # Validation errors are logged and must not contain the body's digest.
    model_config = pydantic.ConfigDict(hide_input_in_errors=True)

    written_unix_ms: fields.UnixTime
    account: fields.Text
    shape: _Hash
    digest: fields.Text
    label: fields.Text
    crashes: fields.List[_Crash]
    cleared_age_ms: fields.Duration | None = None
    trials: fields.Count = 0
    trial_age_ms: fields.Duration | None = None
    completions: fields.Count = 0
    position: fields.Whole = 0


def encode(report: crash_reports.CrashReport, *, wall_ms: float) -> bytes:
    """Encodes a report.

    Args:
        report: The report.
        wall_ms: Current Unix time in milliseconds.
    """
    record = _Record(
        written_unix_ms=wall_ms,
        account=report.fingerprint.outline.account,
        shape=report.fingerprint.outline.shape,
        digest=report.fingerprint.digest.hex(),
        label=report.label,
        crashes=[
            _Crash(
                engine=crash.engine,
                age_ms=max(0.0, crash.age_ms),
                request=crash.request,
            )
            for crash in report.crashes
        ],
        cleared_age_ms=report.cleared_age_ms,
        trials=report.trials,
        trial_age_ms=report.trial_age_ms,
        completions=report.completions,
        position=report.position,
    )
    return record.model_dump_json().encode()


def decode(data: bytes, *, wall_ms: float) -> crash_reports.CrashReport:
    """Decodes a report and adds the time since it was written to its ages.

    Args:
        data: Output of ``encode``.
        wall_ms: Current Unix time in milliseconds. A report from the future,
            which clock differences can cause, is treated as new.

    Raises:
        ValueError: The data is not a valid report.
    """
    fields.check_size(data, _MAX_RECORD_BYTES)
    record = _Record.model_validate_json(data)
    since_ms = max(0.0, wall_ms - record.written_unix_ms)
    outline = fingerprints.Outline(record.account, record.shape)
    return crash_reports.CrashReport(
        fingerprints.Fingerprint(outline, bytes.fromhex(record.digest)),
        record.label,
        tuple(
            crash_reports.Crash(
                crash.engine, crash.age_ms + since_ms, crash.request
            )
            for crash in record.crashes
        ),
        _add_age(record.cleared_age_ms, since_ms),
        record.trials,
        _add_age(record.trial_age_ms, since_ms),
        record.completions,
        record.position,
    )


def _add_age(age_ms: float | None, by_ms: float) -> float | None:
    return None if age_ms is None else age_ms + by_ms
