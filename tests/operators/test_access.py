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

UNSCOPED_ADMIN = deployments.operator("anybody", _ROLE.ADMIN)
TEAM_MEMBER = deployments.operator("mate", _ROLE.OPERATOR, ("shop-api",))
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
    (UNSCOPED_ADMIN, "- - w - - -"),
    (TEAM_MEMBER, "- - w - - w"),
)


@pytest.mark.parametrize(("resource", "row"), MATRIX)
def test_permissions_by_role_and_scope(resource: resources.Resource, row: str):
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


async def test_a_deleted_operator_is_unauthenticated():
    async with deployments.running("e1") as deployment:
        admin = deployment.client()
        await admin.create(deployments.SHOP)
        created = await admin.create(TEAM_MEMBER)
        team_member = deployment.client(token="mate")
        await team_member.list_page(_KIND.SERVICE)
        await admin.delete(
            _KIND.OPERATOR, "mate", expected_generation=created.generation
        )
        kind = await _refusal(team_member.list_page(_KIND.SERVICE))
        assert kind is errors.ErrorKind.UNAUTHENTICATED


async def test_a_scoped_operator_only_accesses_its_services():
    async with deployments.running("e1") as deployment:
        await deployment.client().apply([*deployments.ALL, TEAM_MEMBER])
        team_member = deployment.client(token="mate")
        held = await team_member.list_all(_KIND.ENDPOINT)
        assert [one.resource for one in held] == [deployments.TILL]
        foreign = deployments.ENDPOINT
        stolen = dataclasses.replace(foreign, service="shop-api")
        given = dataclasses.replace(deployments.TILL, service="verdict-llm")
        forbidden = errors.ErrorKind.FORBIDDEN
        unknown = errors.ErrorKind.UNKNOWN_RESOURCE
        assert (
            await _refusal(team_member.get(_KIND.ENDPOINT, foreign.name))
            is unknown
        )
        for wanted in (stolen, given):
            call = team_member.change(wanted, expected_generation=1)
            assert await _refusal(call) is forbidden
        assert (
            await _refusal(team_member.apply([foreign, stolen][1:]))
            is forbidden
        )
        assert (
            await _refusal(team_member.set_drained(foreign.name, drained=True))
            is unknown
        )
        history = await team_member.history(_KIND.ENDPOINT, foreign.name)
        assert history.entries == ()
        assert await team_member.engines() == ()


async def test_pruning_stays_within_the_scope():
    async with deployments.running("e1") as deployment:
        admin = deployment.client()
        await admin.apply([*deployments.ALL, TEAM_MEMBER])
        team_member = deployment.client(token="mate")
        plan = await team_member.apply(
            [deployments.SHOP], prune=True, dry_run=True
        )
        names = [item.difference.name for item in plan.items]
        assert names == ["shops", "till-1"]


async def test_the_name_of_the_built_in_admin_is_reserved():
    async with deployments.running("e1") as deployment:
        wanted = deployments.operator("bootstrap", _ROLE.VIEWER)
        kind = await _refusal(deployment.client().create(wanted))
        assert kind is errors.ErrorKind.CONFIG_INVALID


async def test_changes_by_a_viewer_are_not_appended():
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


async def test_rate_limited_calls_return_a_retry_after():
    """Calls over the rate limit are refused with a retry-after.

    Other operators must not be affected.
    """
    settings = models.OperatorSettings(max_changes_per_s=0.3)
    async with deployments.running("e1", settings=settings) as deployment:
        await deployment.client().apply([deployments.SHOP, TEAM_MEMBER])
        team_member = deployment.client(token="mate")
        for drained in (True, False, True):
            wanted = dataclasses.replace(deployments.TILL, drained=drained)
            await team_member.apply([wanted], force=True)
        with pytest.raises(errors.WharfError) as refused:
            await team_member.apply([deployments.TILL])
        assert refused.value.kind is errors.ErrorKind.RATE_LIMITED
        assert refused.value.ran is errors.Ran.NO
        assert refused.value.retry_after_ms == pytest.approx(1000 / 0.3)
        await team_member.list_page(_KIND.SERVICE)
        await deployment.client().apply([deployments.TILL])


async def test_a_watch_ends_when_its_identity_changes():
    """An open watch must not leak resources after a change of scope."""
    async with deployments.running("e1") as deployment:
        admin = deployment.client()
        await admin.apply([*deployments.ALL, TEAM_MEMBER])
        events = deployment.client(token="mate").watch()
        while not (await anext(events)).is_snapshot_end:
            pass
        await admin.apply(
            [dataclasses.replace(TEAM_MEMBER, services=("verdict-llm",))]
        )
        await admin.set_drained("till-1", drained=True, force=True)
        with pytest.raises(errors.WharfError) as refused:
            await anext(events)
        assert refused.value.kind is errors.ErrorKind.FORBIDDEN


async def test_a_watch_reports_moves_into_and_out_of_the_scope():
    async with deployments.running("e1") as deployment:
        admin = deployment.client()
        await admin.apply([*deployments.ALL, TEAM_MEMBER])
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


async def test_only_operations_in_scope_are_visible():
    async with deployments.running("e1") as deployment:
        admin = deployment.client()
        await admin.apply([*deployments.ALL, TEAM_MEMBER], operation_id="op-1")
        team_member = deployment.client(token="mate")
        own = f"op-1/endpoint/{deployments.TILL.name}"
        assert (await team_member.operation(own)).generation
        kind = await _refusal(team_member.operation("op-1"))
        assert kind is errors.ErrorKind.FORBIDDEN


async def test_only_an_unscoped_admin_accepts_a_loss():
    team_admin = deployments.operator("ta", _ROLE.ADMIN, ["shop-api"])
    ben = deployments.operator("ben", _ROLE.OPERATOR)
    async with deployments.running("e1") as deployment:
        await deployment.client().apply([deployments.SHOP, team_admin, ben])
        for token in ("ta", "ben"):
            call = deployment.client(token=token).accept_loss()
            assert await _refusal(call) is errors.ErrorKind.FORBIDDEN
        status = await deployment.client().accept_loss()
        assert status.instance == "e1"


async def test_changes_are_logged_without_the_token():
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


async def test_the_number_of_open_watches_is_limited():
    settings = models.OperatorSettings(max_watches=1)
    async with deployments.running("e1", settings=settings) as deployment:
        first = deployment.client().watch()
        await anext(first)
        kind = await _refusal(anext(deployment.client().watch()))
        assert kind is errors.ErrorKind.TOO_MANY_IN_FLIGHT
        await first.aclose()
