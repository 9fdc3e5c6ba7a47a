"""The error table is complete, and its documentation is up to date."""

from __future__ import annotations

import pathlib

import grpc

from jujubewharf import errors
from jujubewharf.telemetry import error_page

PAGE = pathlib.Path(__file__).parents[1] / "docs" / "ERRORS.md"


def test_every_kind_has_a_row_with_known_codes():
    assert set(errors.TABLE) == set(errors.ErrorKind)
    for answer in errors.TABLE.values():
        assert answer.grpc_code in grpc.StatusCode.__members__
        assert 400 <= answer.http_status < 600


def test_documentation_page_is_up_to_date():
    assert PAGE.read_text() == error_page.render()
