"""RPCs of the schema over gRPC on loopback."""

from __future__ import annotations

import asyncio
import dataclasses

import grpc
from grpc_health.v1 import health_pb2
from grpc_health.v1 import health_pb2_grpc
from grpc_reflection.v1alpha import reflection_pb2
from grpc_reflection.v1alpha import reflection_pb2_grpc
import pytest

from jujubewharf import errors
from jujubewharf.configuration import resources
from jujubewharf.operators import adapter
from jujubewharf.operators import call_errors
from jujubewharf.operators import calls
from jujubewharf.operators import values
from tests.operators import deployments

_KIND = resources.Kind
_EFFECT = values.Effect


def test_every_rpc_of_the_schema_is_implemented():
    names = {method.name for method in adapter.SERVICE.methods}
    assert names == set(calls.UNARY) | set(calls.STREAM)


async def test_create_change_get_and_delete():
    async with deployments.running("e1") as deployment:
        client = deployment.client()
        created = await client.create(deployments.SERVICE)
        stored = await client.get(_KIND.SERVICE, "verdict-llm")
        assert stored.resource == deployments.SERVICE
        assert stored.generation == created.generation

        wanted = dataclasses.replace(deployments.SERVICE, max_queued=7)
        changed = await client.change(
            wanted, expected_generation=created.generation
        )
        assert changed.generation > created.generation
        stored = await client.get(_KIND.SERVICE, "verdict-llm")
        assert stored.resource == wanted

        await client.delete(
            _KIND.SERVICE,
            "verdict-llm",
            expected_generation=changed.generation,
        )
        with pytest.raises(errors.WharfError) as refused:
            await client.get(_KIND.SERVICE, "verdict-llm")
        assert refused.value.kind is errors.ErrorKind.UNKNOWN_RESOURCE


async def test_a_change_is_readable_at_another_instance():
    async with deployments.running("e1", "e2") as deployment:
        created = await deployment.client("e1").create(deployments.SERVICE)
        elsewhere = await deployment.client("e2").get(
            _KIND.SERVICE,
            "verdict-llm",
            not_before_offset=created.applied_offset,
        )
        here = await deployment.client("e1").get(_KIND.SERVICE, "verdict-llm")
        assert elsewhere == here


async def test_apply_with_and_without_dry_run():
    async with deployments.running("e1") as deployment:
        client = deployment.client()
        plan = await client.apply(deployments.ALL, dry_run=True)
        assert len(plan.items) == len(deployments.ALL)
        assert await client.list_all(_KIND.SERVICE) == []
        reply = await client.apply(deployments.ALL)
        assert not reply.failed
        held = await client.list_all(_KIND.ENDPOINT)
        assert [one.resource for one in held] == [
            deployments.ENDPOINT,
            deployments.TILL,
        ]
        again = await client.apply(deployments.ALL)
        assert again.items == ()
        changed = dataclasses.replace(deployments.TILL, domain="norte-b")
        plan = await client.apply([changed], dry_run=True)
        [item] = plan.items
        assert item.difference.effect is _EFFECT.CHANGE
        assert item.difference.fields == (
            values.FieldDifference("domain", '"norte-a"', '"norte-b"'),
        )


async def test_pruning_deletes_what_is_not_listed():
    async with deployments.running("e1") as deployment:
        client = deployment.client()
        await client.apply(deployments.ALL)
        reply = await client.apply(
            [deployments.SHOP, deployments.TILL], prune=True, force=True
        )
        assert not reply.failed, reply.failed
        assert [
            stored.resource.name
            for kind in _KIND
            for stored in await client.list_all(kind)
        ] == ["shop-api", "till-1"]


async def test_an_apply_conflicts_with_changes_since_the_dry_run():
    async with deployments.running("e1") as deployment:
        client = deployment.client()
        await client.apply(deployments.ALL)
        wanted = dataclasses.replace(deployments.TILL, slots=3)
        plan = await client.apply([wanted], dry_run=True)
        await client.set_drained("till-1", drained=True, force=True)
        with pytest.raises(errors.WharfError) as refused:
            await client.apply([wanted], seen_offset=plan.applied_offset)
        assert refused.value.kind is errors.ErrorKind.CONFIG_CONFLICT
        assert "bootstrap changed endpoint till-1" in refused.value.detail


async def test_drain_and_undrain():
    async with deployments.running("e1") as deployment:
        client = deployment.client()
        await client.apply(deployments.ALL)
        await client.set_drained("decode-1", drained=True, force=True)
        stored = await client.get(_KIND.ENDPOINT, "decode-1")
        assert stored.resource.drained
        await client.set_drained("decode-1", drained=False)
        stored = await client.get(_KIND.ENDPOINT, "decode-1")
        assert stored.resource == deployments.ENDPOINT


async def test_history_and_rollback():
    async with deployments.running("e1") as deployment:
        admin = deployment.client()
        ana = deployments.operator("ana", resources.OperatorRole.OPERATOR)
        await admin.create(ana)
        created = await admin.create(deployments.SHOP)
        client = deployment.client(token="ana")
        wanted = dataclasses.replace(deployments.SHOP, repeatable=False)
        changed = await client.change(
            wanted, expected_generation=created.generation
        )
        await client.rollback(
            _KIND.SERVICE,
            "shop-api",
            to_generation=created.generation,
            expected_generation=changed.generation,
        )
        stored = await client.get(_KIND.SERVICE, "shop-api")
        assert stored.resource == deployments.SHOP
        first = await client.history(_KIND.SERVICE, "shop-api", page_size=2)
        rest = await client.history(
            _KIND.SERVICE,
            "shop-api",
            page_size=2,
            page_token=first.next_page_token,
        )
        assert [entry.actor for entry in first.entries] == ["ana", "ana"]
        assert first.entries[0].resource == deployments.SHOP
        assert [entry.actor for entry in rest.entries] == ["bootstrap"]
        assert rest.next_page_token == ""


async def test_a_watch_yields_the_state_and_then_changes():
    async with deployments.running("e1", "e2") as deployment:
        writer, reader = deployment.client("e1"), deployment.client("e2")
        created = await writer.create(deployments.SHOP)
        await reader.get(
            _KIND.SERVICE, "shop-api", not_before_offset=created.generation
        )
        events = reader.watch(kinds=[_KIND.SERVICE])
        first = await anext(events)
        assert first.effect is _EFFECT.CREATE
        assert first.resource == deployments.SHOP
        assert (await anext(events)).is_snapshot_end
        await writer.create(deployments.MODEL)
        await writer.delete(
            _KIND.SERVICE, "shop-api", expected_generation=created.generation
        )
        deleted = await asyncio.wait_for(anext(events), 10)
        assert deleted.effect is _EFFECT.DELETE
        assert (deleted.kind, deleted.name) == (_KIND.SERVICE, "shop-api")
        assert deleted.resource is None
        await events.aclose()


async def test_an_operation_retried_elsewhere_takes_effect_once():
    async with deployments.running("e1", "e2") as deployment:
        one, two = deployment.client("e1"), deployment.client("e2")
        first = await one.create(deployments.SHOP, operation_id="op-1")
        again = await two.create(deployments.SHOP, operation_id="op-1")
        assert again.generation == first.generation
        found = await two.operation("op-1")
        assert found.state is values.OperationState.ACCEPTED
        assert found.generation == first.generation
        unseen = await two.operation("op-2")
        assert unseen.state is values.OperationState.NOT_SEEN
        deleted = await one.delete(
            _KIND.SERVICE,
            "shop-api",
            expected_generation=first.generation,
            operation_id="op-3",
        )
        repeated = await one.delete(
            _KIND.SERVICE,
            "shop-api",
            expected_generation=first.generation,
            operation_id="op-3",
        )
        assert repeated.generation == deleted.generation


async def test_the_operation_of_an_apply_summarizes_its_changes():
    async with deployments.running("e1") as deployment:
        client = deployment.client()
        await client.apply(deployments.ALL, operation_id="op-1")
        found = await client.operation("op-1")
        assert found.state is values.OperationState.ACCEPTED
        assert found.generation == len(deployments.ALL)
        assert found.detail.startswith("6 of 6 judged changes are in force")
        drained = dataclasses.replace(deployments.TILL, drained=True)
        changed = dataclasses.replace(deployments.SHOP, max_queued=1)
        await client.apply([drained, changed], operation_id="op-2")
        found = await client.operation("op-2")
        assert found.state is values.OperationState.UNSAFE
        assert found.detail.startswith(
            "1 of 2 judged changes are in force; op-2/endpoint/till-1"
        )


async def test_status_engines_and_identity():
    async with deployments.running("e1") as deployment:
        client = deployment.client()
        await client.apply(deployments.ALL)
        status = await client.status()
        assert (status.instance, status.domain) == ("e1", "norte-a")
        assert status.is_caught_up
        assert values.ReasonCount("endpoint", 2) in status.resources
        [engine] = await client.engines(service="verdict-llm")
        assert engine.name == "decode-1"
        identity = await client.identity()
        assert identity.name == "bootstrap"
        assert identity.role is resources.OperatorRole.ADMIN


async def test_reflection_and_health_are_served():
    async with deployments.running("e1") as deployment:
        async with grpc.aio.insecure_channel(deployment.address("e1")) as open_:
            health = health_pb2_grpc.HealthStub(open_)
            request = health_pb2.HealthCheckRequest(
                service=adapter.SERVICE.full_name
            )
            answer = await health.Check(request)
            assert answer.status == health_pb2.HealthCheckResponse.SERVING
            reflection = reflection_pb2_grpc.ServerReflectionStub(open_)
            asked = reflection_pb2.ServerReflectionRequest(list_services="")
            call = reflection.ServerReflectionInfo(iter([asked]))
            listed = await call.read()
            names = [one.name for one in listed.list_services_response.service]
            assert adapter.SERVICE.full_name in names


async def test_an_invalid_field_is_reported_with_its_path():
    async with deployments.running("e1") as deployment:
        wanted = dataclasses.replace(deployments.SHOP, name="")
        with pytest.raises(call_errors.OperatorError) as refused:
            await deployment.client().create(wanted, operation_id="op-9")
        assert refused.value.kind is errors.ErrorKind.CONFIG_INVALID
        assert refused.value.ran is errors.Ran.NO
        assert refused.value.operation_id == "op-9"
        assert refused.value.violations[0].path == "name"
