"""Statuses that mean "did not run" are used only if that is certain."""

from __future__ import annotations

import pytest

from jujubewharf import errors
from jujubewharf.forwarding import error_responses


@pytest.mark.parametrize("kind", list(errors.ErrorKind))
@pytest.mark.parametrize("ran", list(errors.Ran))
def test_not_run_statuses_are_certain(kind, ran):
    status = error_responses.status_of(errors.WharfError(kind, ran=ran))
    if status in error_responses.NOT_RUN_STATUSES:
        assert ran is errors.Ran.NO
