"""Builders for changes, records and followers."""

from __future__ import annotations

import contextlib
import itertools
from typing import Any

from jujubewharf import clock as clocks
from jujubewharf.configuration import changes as changes_lib
from jujubewharf.configuration import follower as followers
from jujubewharf.configuration import records
from jujubewharf.configuration import resource_codec
from jujubewharf.configuration import resources
from jujubewharf.configuration import state as states
from jujubewharf.platform import log as logs

_operations = itertools.count()

SERVICE = resources.Service(
    "verdict-llm", resources.ServiceKind.MODEL, model="judge"
)


def engine(name: str, **fields: Any) -> resources.Endpoint:
    given = {
        "service": "verdict-llm",
        "address": "127.0.0.1:7000",
        "domain": "norte-a",
        "role": resources.Role.BOTH,
    }
    return resources.Endpoint(name, **given | fields)


def put(resource: resources.Resource, **fields: Any) -> records.Change:
    return records.Change(
        operation_id=fields.pop("operation_id", f"op-{next(_operations)}"),
        actor=fields.pop("actor", "ana"),
        verb=records.Verb.PUT,
        kind=resources.KIND_OF[type(resource)].value,
        name=resource.name,
        expected_generation=fields.pop("expected_generation", None),
        body=resource_codec.dump(resource) | fields.pop("extra", {}),
        **fields,
    )


def delete(resource: resources.Resource, **fields: Any) -> records.Change:
    return records.Change(
        operation_id=fields.pop("operation_id", f"op-{next(_operations)}"),
        actor="ana",
        verb=records.Verb.DELETE,
        kind=resources.KIND_OF[type(resource)].value,
        name=resource.name,
        expected_generation=fields.pop("expected_generation", None),
        body={},
        **fields,
    )


def rules(version: int) -> records.Change:
    return records.Change(
        operation_id=f"op-{next(_operations)}",
        actor="ana",
        verb=records.Verb.RULES,
        kind=records.RULES_KIND,
        name=records.RULES_NAME,
        expected_generation=None,
        body={"version": version},
    )


def apply_changes(
    state: states.State, *changes: records.Change
) -> list[states.Verdict]:
    return [apply_bytes(state, records.encode(change)) for change in changes]


def apply_bytes(state: states.State, payload: bytes) -> states.Verdict:
    return state.apply(logs.LogRecord(state.next_offset, payload))


@contextlib.asynccontextmanager
async def running_follower(log: logs.Log, clock: clocks.Clock):
    """Runs a follower that has caught up, with its ``ChangeSubmitter``."""
    follower = followers.ConfigurationFollower(log, clock)
    changes = changes_lib.ChangeSubmitter(follower, log, clock)
    await follower.start()
    try:
        await follower.caught_up.wait()
        yield changes, follower
    finally:
        await follower.stop()
