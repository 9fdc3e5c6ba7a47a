"""Reads experiment files, which may extend one another."""

from __future__ import annotations

import json
import pathlib
from typing import Any

import pydantic
import result

from jujubewharf.experiments import models

_EXTENDS = "extends"
_MAX_DEPTH = 5


def read(path: pathlib.Path) -> result.Result[models.Experiment, list[str]]:
    """Reads and validates an experiment file.

    The ``extends`` key names a base file, relative to the extending file.
    Objects are merged recursively; other values replace those of the base.

    Returns:
        The experiment, or one line per error, prefixed with the path of the
        invalid field.
    """
    try:
        data = _read_merged(path, depth=0)
    except OSError as error:
        return result.Err([f"{error.filename}: {error.strerror}"])
    except ValueError as error:
        return result.Err([f"{path}: {error}"])
    try:
        return result.Ok(models.Experiment.model_validate(data))
    except pydantic.ValidationError as error:
        return result.Err([_format_error(item) for item in error.errors()])


def _read_merged(path: pathlib.Path, *, depth: int) -> dict[str, Any]:
    if depth > _MAX_DEPTH:
        raise ValueError("too many nested 'extends'")
    data = json.loads(path.read_text(encoding="utf-8"))
    if not isinstance(data, dict):
        raise ValueError("not a JSON object")
    base_name = data.pop(_EXTENDS, None)
    if base_name is None:
        return data
    base = _read_merged(path.parent / str(base_name), depth=depth + 1)
    return _merge(base, data)


def _merge(base: dict[str, Any], data: dict[str, Any]) -> dict[str, Any]:
    merged = dict(base)
    for key, value in data.items():
        base_value = merged.get(key)
        if isinstance(base_value, dict) and isinstance(value, dict):
            merged[key] = _merge(base_value, value)
        else:
            merged[key] = value
    return merged


def _format_error(item: Any) -> str:
    path = ".".join(str(part) for part in item["loc"]) or "(top)"
    return f"{path}: {item['msg']}"
