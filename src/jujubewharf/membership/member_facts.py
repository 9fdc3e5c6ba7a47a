"""What instances say of each other in facts: the values, typed."""

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
    """An instance says that it is there.

    Attributes:
        domain: Its failure domain.
        address: ``IP:PORT`` of its peer link.
        incarnation: Tells it from earlier processes of the same name.
    """

    domain: str
    address: str
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """An instance says that it doesn't hear another.

    Attributes:
        domain: Failure domain of the one who says so.
        incarnation: The process that is not heard.
        is_silent: False takes the report back.
    """

    domain: str
    incarnation: int
    is_silent: bool


_CACHED_VALUES = 1_024

_presence = pydantic.TypeAdapter(Presence)
_report = pydantic.TypeAdapter(Report)


def dump(value: Presence | Report) -> str:
    """A fact's value; a list, for names would double its size."""
    return json.dumps(dataclasses.astuple(value), separators=(",", ":"))


def presence(fact: fact_store.Fact) -> Presence | None:
    """Reads a presence; ``None`` if it is of a form unknown here."""
    return _read_presence(fact.value)


def report(fact: fact_store.Fact) -> Report | None:
    """Reads a report; ``None`` if it is of a form unknown here."""
    return _read_report(fact.value)


def report_subject(silent: str, watcher: str) -> str:
    """Subject of a report; each watcher has its own."""
    return f"{silent}\t{watcher}"


def silent_in(subject: str) -> str:
    """Name of the instance that a report is about."""
    return subject.partition("\t")[0]


# The same few values are read at every check, several times a second.
@functools.lru_cache(maxsize=_CACHED_VALUES)
def _read_presence(value: str) -> Presence | None:
    try:
        return _presence.validate_python(_named(Presence, value))
    except ValueError:
        return None


@functools.lru_cache(maxsize=_CACHED_VALUES)
def _read_report(value: str) -> Report | None:
    try:
        return _report.validate_python(_named(Report, value))
    except ValueError:
        return None


def _named(value_type: type[Presence | Report], value: str) -> object:
    items = json.loads(value)
    if not isinstance(items, list):
        raise ValueError("no list")
    names = (field.name for field in dataclasses.fields(value_type))
    return dict(zip(names, items, strict=False))
