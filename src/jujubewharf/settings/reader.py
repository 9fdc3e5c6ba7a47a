"""Reads a settings file and names every error with its path."""

from __future__ import annotations

import json
import pathlib

import pydantic
import result

from jujubewharf.settings import models


def read(path: pathlib.Path) -> result.Result[models.EntrySettings, list[str]]:
    """Reads and checks a settings file.

    Returns:
        The settings, or one line an error, each opening with the path of the
        field it is about.
    """
    try:
        data = json.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        return result.Err([f"{path}: {error.strerror}"])
    except ValueError as error:
        return result.Err([f"{path}: not JSON: {error}"])
    return check(data)


def check(data: object) -> result.Result[models.EntrySettings, list[str]]:
    """Checks settings that were read from JSON already."""
    try:
        return result.Ok(models.EntrySettings.model_validate(data))
    except pydantic.ValidationError as error:
        return result.Err([_line(item) for item in error.errors()])


def _line(item: object) -> str:
    assert isinstance(item, dict)
    path = ".".join(str(part) for part in item["loc"]) or "(top)"
    return f"{path}: {item['msg']}"
