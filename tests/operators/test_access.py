"""Authentication, authorization and limits of operators."""

from __future__ import annotations

import dataclasses

import pytest
from structlog import testing

from jujubewharf import errors
from jujubewharf.configuration import resources
from jujubewharf.operators import identities
from jujubewharf.operators import values
from jujubewharf.settings import models
from tests.operators import deployments

_KIND = resources.Kind
_ROLE = resources.OperatorRole

VIEWER = values.Identity("viewer", _ROLE.VIEWER)
OPERATOR = values.Identity("operator", _ROLE.OPERATOR)
ADMIN = values.Identity("admin", _ROLE.ADMIN)
TEAM_VIEWER = values.Identity("tv", _ROLE.VIEWER, ("shop-api",))
TEAM_OPERATOR = values.Identity("to", _ROLE.OPERATOR, ("shop-api",))
TEAM_ADMIN = values.Identity("ta", _ROLE.ADMIN, ("shop-api",))
IDENTITIES = (
    VIEWER,
    OPERATOR,
    ADMIN,
    TEAM_VIEWER,
    TEAM_OPERATOR,
    TEAM_ADMIN,
)

ANYBODY = deployments.operator("anybody", _ROLE.ADMIN)
MATE = deployments.operator("mate", _ROLE.OPERATOR, ("shop-api",))
OPEN_ACCOUNT = dataclasses.replace(deployments.ACCOUNT, services=())

# One letter per identity: - no access, r read, w read and write.
MATRIX = (
    (deployments.SHOP, "r w w r w w"),
    (deployments.TILL, "r w w r w w"),
    (deployments.SERVICE, "r w w - - -"),
    (deployments.ENDPOINT, "r w w - - -"),
    (deployments.MODEL, "r w w r r r"),
    (deployments.ACCOUNT, "r w w r w w"),
    (OPEN_ACCOUNT, "r w w - - -"),
    (ANYBODY, "- - w - - -"),
    (MATE, "- - w - - w"),
)


@pytest.mark.parametrize(("resource", "row"), MATRIX)
def test_the_matrix_of_roles_and_scopes(resource: resources.Resource, row: str):
    found = []
    for identity in IDENTITIES:
        sees = identities.may_see(identity, resource)
        changes = identities.may_change(identity, resource)
        assert sees or not changes
        found.append("w" if changes else "r" if sees else "-")
    assert " ".join(found) == row


async def _refusal(call) -> errors.ErrorKind:
    with pytest.raises(errors.WharfError) as refused:
        await call
    assert refused.value.ran is errors.Ran.NO
    return refused.value.kind


async def test_unknown_and_missing_tokens_are_refused():
    async with deployments.running("e1") as deployment:
        for token in ("", "nobody", deployments.BOOTSTRAP_TOKEN + "x"):
            client = deployment.client(token=token)
            kind = await _refusal(client.list_page(_KIND.SERVICE))
            assert kind is errors.ErrorKind.UNAUTHENTICATED


async def test_a_deleted_operator_is_refused_at_once():
    async with deployments.running("e1") as deployment:
        admin = deployment.client()
        await admin.create(deployments.SHOP)
        created = await admin.create(MATE)
        mate = deployment.client(token="mate")
        await mate.list_page(_KIND.SERVICE)
        await admin.delete(
            _KIND.OPERATOR, "mate", expected_generation=created.generation
        )
        kind = await _refusal(mate.list_page(_KIND.SERVICE))
        assert kind is errors.ErrorKind.UNAUTHENTICATED


async def test_a_team_sees_and_changes_only_its_own():
    async with deployments.running("e1") as deployment:
        await deployment.client().apply([*deployments.ALL, MATE])
        mate = deployment.client(token="mate")
        held = await mate.list_all(_KIND.ENDPOINT)
        assert [one.resource for one in held] == [deployments.TILL]
        foreign = deployments.ENDPOINT
        stolen = dataclasses.replace(foreign, service="shop-api")
        given = dataclasses.replace(deployments.TILL, service="verdict-llm")
        forbidden = errors.ErrorKind.FORBIDDEN
        unknown = errors.ErrorKind.UNKNOWN_RESOURCE
        assert await _refusal(mate.get(_KIND.ENDPOINT, foreign.name)) is unknown
        for wanted in (stolen, given):
            call = mate.change(wanted, expected_generation=1)
            assert await _refusal(call) is forbidden
        assert await _refusal(mate.apply([foreign, stolen][1:])) is forbidden
        assert (
            await _refusal(mate.set_drained(foreign.name, drained=True))
            is unknown
        )
        history = await mate.history(_KIND.ENDPOINT, foreign.name)
        assert history.entries == ()
        assert await mate.engines() == ()


async def test_pruning_stays_within_the_scope():
    async with deployments.running("e1") as deployment:
        admin = deployment.client()
        await admin.apply([*deployments.ALL, MATE])
        mate = deployment.client(token="mate")
        plan = await mate.apply([deployments.SHOP], prune=True, dry_run=True)
        names = [item.difference.name for item in plan.items]
        assert names == ["shops", "till-1"]


async def test_an_operator_can_not_take_the_built_in_admins_name():
    async with deployments.running("e1") as deployment:
        wanted = deployments.operator("bootstrap", _ROLE.VIEWER)
        kind = await _refusal(deployment.client().create(wanted))
        assert kind is errors.ErrorKind.CONFIG_INVALID


async def test_a_viewer_writes_nothing_to_the_log():
    async with deployments.running("e1") as deployment:
        viewer = deployments.operator("viewer", _ROLE.VIEWER)
        await deployment.client().apply([*deployments.ALL, viewer])
        client = deployment.client(token="viewer")
        before = deployment.bench.log.appends.total()
        forbidden = errors.ErrorKind.FORBIDDEN
        calls = (
            client.create(dataclasses.replace(deployments.SHOP, name="new")),
            client.change(deployments.SHOP, expected_generation=2),
            client.delete(_KIND.SERVICE, "shop-api", expected_generation=2),
            client.set_drained("till-1", drained=True),
            client.apply([dataclasses.replace(deployments.TILL, slots=1)]),
        )
        for call in calls:
            assert await _refusal(call) is forbidden
        call = client.delete(_KIND.SERVICE, "none", expected_generation=2)
        assert await _refusal(call) is errors.ErrorKind.UNKNOWN_RESOURCE
        assert deployment.bench.log.appends.total() == before


async def test_an_operator_that_calls_too_often_is_told_when_to_come_back():
    """Calls over the rate limit are refused with a retry-after.

    Other operators must not be affected.
    """
    settings = models.OperatorSettings(max_changes_per_s=0.3)
    async with deployments.running("e1", settings=settings) as deployment:
        await deployment.client().apply([deployments.SHOP, MATE])
        mate = deployment.client(token="mate")
        for drained in (True, False, True):
            wanted = dataclasses.replace(deployments.TILL, drained=drained)
            await mate.apply([wanted], force=True)
        with pytest.raises(errors.WharfError) as refused:
            await mate.apply([deployments.TILL])
        assert refused.value.kind is errors.ErrorKind.RATE_LIMITED
        assert refused.value.ran is errors.Ran.NO
        assert refused.value.retry_after_ms == pytest.approx(1000 / 0.3)
        await mate.list_page(_KIND.SERVICE)
        await deployment.client().apply([deployments.TILL])


async def test_a_watch_ends_when_its_operator_loses_its_rights():
    """An open watch must not leak resources after a change of scope."""
    async with deployments.running("e1") as deployment:
        admin = deployment.client()
        await admin.apply([*deployments.ALL, MATE])
        events = deployment.client(token="mate").watch()
        while not (await anext(events)).is_snapshot_end:
            pass
        await admin.apply(
            [dataclasses.replace(MATE, services=("verdict-llm",))]
        )
        await admin.set_drained("till-1", drained=True, force=True)
        with pytest.raises(errors.WharfError) as refused:
            await anext(events)
        assert refused.value.kind is errors.ErrorKind.FORBIDDEN


async def test_a_watch_tells_of_moves_into_and_out_of_the_scope():
    async with deployments.running("e1") as deployment:
        admin = deployment.client()
        await admin.apply([*deployments.ALL, MATE])
        events = deployment.client(token="mate").watch(kinds=[_KIND.ENDPOINT])
        while not (await anext(events)).is_snapshot_end:
            pass
        other = dataclasses.replace(deployments.SHOP, name="stock-api")
        moved = dataclasses.replace(deployments.TILL, service="stock-api")
        await admin.apply([other, moved], force=True)
        await admin.apply([deployments.TILL], force=True)
        left, back = await anext(events), await anext(events)
        assert (left.effect, left.resource) == (values.Effect.DELETE, None)
        assert back.effect is values.Effect.CREATE
        assert back.resource == deployments.TILL


async def test_an_operation_is_told_to_its_operator_and_to_its_team():
    async with deployments.running("e1") as deployment:
        admin = deployment.client()
        await admin.apply([*deployments.ALL, MATE], operation_id="op-1")
        mate = deployment.client(token="mate")
        own = f"op-1/endpoint/{deployments.TILL.name}"
        assert (await mate.operation(own)).generation
        kind = await _refusal(mate.operation("op-1"))
        assert kind is errors.ErrorKind.FORBIDDEN


async def test_a_loss_is_accepted_by_an_admin_of_all_services_only():
    team_admin = deployments.operator("ta", _ROLE.ADMIN, ["shop-api"])
    ben = deployments.operator("ben", _ROLE.OPERATOR)
    async with deployments.running("e1") as deployment:
        await deployment.client().apply([deployments.SHOP, team_admin, ben])
        for token in ("ta", "ben"):
            call = deployment.client(token=token).accept_loss()
            assert await _refusal(call) is errors.ErrorKind.FORBIDDEN
        status = await deployment.client().accept_loss()
        assert status.instance == "e1"


async def test_every_change_leaves_a_line_without_the_token():
    viewer = deployments.operator("viewer", _ROLE.VIEWER)
    with testing.capture_logs() as lines:
        async with deployments.running("e1") as deployment:
            client = deployment.client()
            await client.create(deployments.SHOP, operation_id="op-1")
            await client.create(viewer, operation_id="op-2")
            call = deployment.client(token="viewer").create(deployments.MODEL)
            await _refusal(call)
    found = [
        (line["actor"], line["call"], line["outcome"])
        for line in lines
        if line["event"] == "operator_change"
    ]
    assert found == [
        ("bootstrap", "Create", "ok"),
        ("bootstrap", "Create", "ok"),
        ("viewer", "Create", "forbidden"),
    ]
    assert [line.get("operation") for line in lines].count("op-1") == 1
    assert deployments.BOOTSTRAP_TOKEN not in str(lines)


async def test_only_so_many_watches_are_open():
    settings = models.OperatorSettings(max_watches=1)
    async with deployments.running("e1", settings=settings) as deployment:
        first = deployment.client().watch()
        await anext(first)
        kind = await _refusal(anext(deployment.client().watch()))
        assert kind is errors.ErrorKind.TOO_MANY_IN_FLIGHT
        await first.aclose()
