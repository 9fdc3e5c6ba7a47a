"""Typed values of the facts that instances publish about members."""

from __future__ import annotations

import dataclasses
import functools
import json
from typing import TYPE_CHECKING

import pydantic

if TYPE_CHECKING:
    from jujubewharf.membership import fact_store


@dataclasses.dataclass(frozen=True, slots=True)
class Presence:
    """Announcement of an instance by itself.

    Attributes:
        domain: Failure domain of the instance.
        address: ``IP:PORT`` on which the instance accepts peer links.
        incarnation: Distinguishes the process from earlier processes of the
            same name.
    """

    domain: str
    address: str
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Report by one instance that another one has gone silent.

    Attributes:
        domain: Failure domain of the reporting instance.
        incarnation: Incarnation of the silent process.
        is_silent: False withdraws the report.
    """

    domain: str
    incarnation: int
    is_silent: bool


_CACHED_VALUES = 1_024

_presence = pydantic.TypeAdapter(Presence)
_report = pydantic.TypeAdapter(Report)


def encode(value: Presence | Report) -> str:
    """Encodes a fact's value as a JSON list: names would double its size."""
    return json.dumps(dataclasses.astuple(value), separators=(",", ":"))


def decode_presence(fact: fact_store.Fact) -> Presence | None:
    """Decodes a presence; returns ``None`` if the format is unknown."""
    return _decode_presence(fact.value)


def decode_report(fact: fact_store.Fact) -> Report | None:
    """Decodes a report; returns ``None`` if the format is unknown."""
    return _decode_report(fact.value)


def report_subject(silent: str, watcher: str) -> str:
    """Returns the subject of a report, one per silent member and watcher."""
    return f"{silent}\t{watcher}"


def silent_member(subject: str) -> str:
    """Returns the name of the silent instance from a report's subject."""
    return subject.partition("\t")[0]


# Every membership check decodes the same few values several times a second.
@functools.lru_cache(maxsize=_CACHED_VALUES)
def _decode_presence(value: str) -> Presence | None:
    try:
        return _presence.validate_python(_by_field_name(Presence, value))
    except ValueError:
        return None


@functools.lru_cache(maxsize=_CACHED_VALUES)
def _decode_report(value: str) -> Report | None:
    try:
        return _report.validate_python(_by_field_name(Report, value))
    except ValueError:
        return None


def _by_field_name(value_type: type[Presence | Report], value: str) -> object:
    items = json.loads(value)
    if not isinstance(items, list):
        raise ValueError("fact value is not a JSON list")
    names = (field.name for field in dataclasses.fields(value_type))
    return dict(zip(names, items, strict=False))
