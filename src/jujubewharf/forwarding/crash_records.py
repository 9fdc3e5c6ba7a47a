"""Crash reports as the store keeps them: JSON, with the time of writing."""

from __future__ import annotations

import pydantic

from jujubewharf.forwarding import crash_reports
from jujubewharf.forwarding import fingerprints


class _Crash(pydantic.BaseModel):
    engine: str
    age_ms: float = pydantic.Field(ge=0)


class _Record(pydantic.BaseModel):
    """A report, with ages from when it was written."""

    # Errors are logged, and the digest of a body must not be.
    model_config = pydantic.ConfigDict(hide_input_in_errors=True)

    written_unix_ms: float
    account: str
    shape: int
    digest: str
    label: str
    crashes: list[_Crash]
    cleared_age_ms: float | None = pydantic.Field(default=None, ge=0)
    trials: int = pydantic.Field(default=0, ge=0)
    trial_age_ms: float | None = pydantic.Field(default=None, ge=0)


def encode(report: crash_reports.CrashReport, *, wall_ms: float) -> bytes:
    """A report as bytes.

    Args:
        report: The report.
        wall_ms: Unix time now.
    """
    record = _Record(
        written_unix_ms=wall_ms,
        account=report.fingerprint.outline.account,
        shape=report.fingerprint.outline.shape,
        digest=report.fingerprint.digest.hex(),
        label=report.label,
        crashes=[
            _Crash(engine=crash.engine, age_ms=max(0.0, crash.age_ms))
            for crash in report.crashes
        ],
        cleared_age_ms=report.cleared_age_ms,
        trials=report.trials,
        trial_age_ms=report.trial_age_ms,
    )
    return record.model_dump_json().encode()


def decode(data: bytes, *, wall_ms: float) -> crash_reports.CrashReport:
    """The report that bytes hold, as old as it is now.

    Args:
        data: What ``encode`` gave.
        wall_ms: Unix time now. Where clocks differ a report may seem to come
            from later; it is then taken for new.

    Raises:
        ValueError: They hold none.
    """
    record = _Record.model_validate_json(data)
    since_ms = max(0.0, wall_ms - record.written_unix_ms)
    outline = fingerprints.Outline(record.account, record.shape)
    return crash_reports.CrashReport(
        fingerprints.Fingerprint(outline, bytes.fromhex(record.digest)),
        record.label,
        tuple(
            crash_reports.Crash(crash.engine, crash.age_ms + since_ms)
            for crash in record.crashes
        ),
        _older(record.cleared_age_ms, since_ms),
        record.trials,
        _older(record.trial_age_ms, since_ms),
    )


def _older(age_ms: float | None, by_ms: float) -> float | None:
    return None if age_ms is None else age_ms + by_ms
