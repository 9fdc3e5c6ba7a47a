"""Reads and validates a settings file; errors name the path of the field."""

from __future__ import annotations

import json
import pathlib

import pydantic
import result

from jujubewharf.settings import models


def read(path: pathlib.Path) -> result.Result[models.EntrySettings, list[str]]:
    """Reads and validates a settings file.

    Returns:
        The settings, or one line per error that starts with the path of the
        field.
    """
    try:
        data = json.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        return result.Err([f"{path}: {error.strerror}"])
    except ValueError as error:
        return result.Err([f"{path}: not JSON: {error}"])
    return check(data)


def check(data: object) -> result.Result[models.EntrySettings, list[str]]:
    """Validates settings that have already been parsed from JSON."""
    try:
        return result.Ok(models.EntrySettings.model_validate(data))
    except pydantic.ValidationError as error:
        return result.Err([_line(item) for item in error.errors()])


def _line(item: object) -> str:
    assert isinstance(item, dict)
    path = ".".join(str(part) for part in item["loc"]) or "(top)"
    return f"{path}: {item['msg']}"
