"""Operator calls during failures of the log, an instance or a reply."""

from __future__ import annotations

import asyncio
import dataclasses

import pytest

from jujubewharf import errors
from jujubewharf.configuration import records
from jujubewharf.configuration import resource_codec
from jujubewharf.configuration import resources
from jujubewharf.experiments import bench as benches
from jujubewharf.experiments import virtual_time
from jujubewharf.operators import call_errors
from jujubewharf.operators import identities
from jujubewharf.operators import pacing
from jujubewharf.operators import server
from jujubewharf.operators import service as services
from jujubewharf.operators import submission
from jujubewharf.operators import values
from tests.operators import deployments

_KIND = resources.Kind
_ADMIN = values.Identity("ana", resources.OperatorRole.ADMIN)


async def test_one_of_two_concurrent_changes_is_a_conflict():
    """Of two concurrent changes of a resource, only the first is applied.

    Guards against instances that disagree about the winner.
    """
    async with deployments.running("e1", "e2") as deployment:
        one, two = deployment.client("e1"), deployment.client("e2")
        created = await one.create(deployments.SHOP)
        await two.get(
            _KIND.SERVICE, "shop-api", not_before_offset=created.generation
        )
        wanted = [
            dataclasses.replace(deployments.SHOP, max_queued=bound)
            for bound in (11, 22)
        ]
        results = await asyncio.gather(
            *(
                client.change(body, expected_generation=created.generation)
                for client, body in zip((one, two), wanted, strict=True)
            ),
            return_exceptions=True,
        )
        [refused] = [r for r in results if isinstance(r, Exception)]
        [done] = [r for r in results if isinstance(r, values.ChangeDone)]
        assert isinstance(refused, call_errors.OperatorError)
        assert refused.kind is errors.ErrorKind.CONFIG_CONFLICT
        assert refused.ran is errors.Ran.NO
        winner = wanted[results.index(done)]
        for client in (one, two):
            stored = await client.get(
                _KIND.SERVICE,
                "shop-api",
                not_before_offset=done.applied_offset,
            )
            assert stored.resource == winner
            assert stored.generation == done.generation


async def test_a_change_fails_while_the_log_is_down():
    """A change fails with ``LOG_UNAVAILABLE`` while reads still work."""
    async with deployments.running("e1", "e2") as deployment:
        client = deployment.client()
        await client.create(deployments.SHOP)
        deployment.bench.log.is_down = True
        with pytest.raises(call_errors.OperatorError) as refused:
            await client.create(deployments.MODEL, operation_id="op-1")
        assert refused.value.kind is errors.ErrorKind.LOG_UNAVAILABLE
        assert refused.value.ran is errors.Ran.NO
        assert refused.value.operation_id == "op-1"
        assert await client.list_all(_KIND.SERVICE)
        deployment.bench.log.is_down = False
        await client.create(deployments.MODEL, operation_id="op-1")


async def test_failover_from_an_instance_without_the_log():
    """The client fails over if an instance cannot reach the log."""
    async with deployments.running("e1", "e2") as deployment:
        deployment.bench.instances["e1"].log.is_cut = True
        client = deployment.client("e1", "e2")
        done = await client.create(deployments.SHOP)
        assert done.generation == 1


async def test_a_lost_append_reply_is_resolved_by_reading():
    """A change must not be appended twice if the log's reply is lost."""
    async with deployments.running("e1") as deployment:
        deployment.bench.log.lose_answers = 1
        client = deployment.client()
        done = await client.create(deployments.SHOP)
        assert done.generation == 1
        assert deployment.bench.log.appends["configuration"] == 1


async def test_failover_until_no_instance_is_reachable():
    """The client fails over and reports when no instance is reachable."""
    async with deployments.running("e1", "e2") as deployment:
        client = deployment.client("e1", "e2")
        await client.create(deployments.SHOP)
        await deployment.servers["e1"].stop()
        assert (await client.status()).instance == "e2"
        await deployment.servers["e2"].stop()
        with pytest.raises(call_errors.UnreachableError):
            await client.create(deployments.MODEL)


@pytest.mark.parametrize("names", [("e1",), ("e1", "e2")])
async def test_an_instance_stops_before_its_reply(names, monkeypatch):
    """An instance stops after it received a change, before its reply.

    The client retries at the next instance or reports an unknown outcome.
    """
    monkeypatch.setattr(server, "_SHUTDOWN_GRACE_S", 0.0)
    async with deployments.running("e1", "e2") as deployment:
        deployment.bench.log.append_ms = 400.0
        append_started = _append_started(deployment.bench.instances["e1"].log)
        client = deployment.client(*names)
        call = client.create(deployments.SHOP, operation_id="op-1")
        calling = asyncio.ensure_future(call)
        await append_started.wait()
        await deployment.servers["e1"].stop()
        if len(names) == 1:
            with pytest.raises(call_errors.OperatorError) as refused:
                await calling
            assert refused.value.ran is errors.Ran.UNKNOWN
            assert refused.value.operation_id == "op-1"
        else:
            await calling
        again = await deployment.client("e2").create(
            deployments.SHOP, operation_id="op-1"
        )
        stored = await deployment.client("e2").get(_KIND.SERVICE, "shop-api")
        assert stored.generation == again.generation


def test_an_instance_without_configuration_is_not_ready():
    """A valid token must not be rejected before the configuration loads."""

    async def scenario() -> None:
        bench = benches.Bench()
        bench.log.is_down = True
        instance = await bench.start_instance(
            "e1", "norte-a", settings=deployments.core_settings()
        )
        operators = instance.operators
        with pytest.raises(errors.WharfError) as refused:
            operators.identify(deployments.BOOTSTRAP_TOKEN)
        assert refused.value.kind is errors.ErrorKind.NOT_READY
        bench.log.is_down = False
        await bench.clock.sleep_ms(10_000)
        identity = operators.identify(deployments.BOOTSTRAP_TOKEN)
        assert identity.name == identities.BOOTSTRAP_NAME
        await bench.stop()

    virtual_time.run(scenario())


def test_an_unknown_outcome_can_be_looked_up_later():
    """A change is appended, but the log fails before it is read back.

    The outcome is unknown until the log recovers; a retry changes nothing.
    """

    async def scenario() -> None:
        bench = benches.Bench()
        instance = await bench.start_instance("e1", "norte-a")
        await bench.clock.sleep_ms(5_000)
        operators: services.OperatorService = instance.operators
        bench.log.lose_answers = 1

        async def go_down() -> None:
            while not bench.log.appends["configuration"]:
                await bench.clock.sleep_ms(0.5)
            bench.log.is_down = True

        downed = asyncio.ensure_future(go_down())
        with pytest.raises(call_errors.OperatorError) as refused:
            await operators.editor.create(
                _ADMIN, deployments.SHOP, operation_id="op-1"
            )
        await downed
        assert refused.value.ran is errors.Ran.UNKNOWN
        assert refused.value.operation_id == "op-1"
        bench.log.is_down = False
        await bench.clock.sleep_ms(10_000)
        found = await operators.queries.operation(_ADMIN, "op-1")
        assert found.state is values.OperationState.ACCEPTED
        again = await operators.editor.create(
            _ADMIN, deployments.SHOP, operation_id="op-1"
        )
        assert again.generation == found.generation
        assert bench.log.appends["configuration"] == 1
        await bench.stop()

    virtual_time.run(scenario())


async def test_pages_are_stable_under_concurrent_changes():
    """Changes between two pages must not skip or repeat other resources."""
    async with deployments.running("e1", "e2") as deployment:
        client = deployment.client("e1")
        names = [f"s{number:02}" for number in range(10)]
        await client.apply(
            [dataclasses.replace(deployments.SHOP, name=n) for n in names]
        )
        first = await client.list_page(_KIND.SERVICE, page_size=4)
        gone = first.items[1]
        await client.delete(
            _KIND.SERVICE,
            gone.resource.name,
            expected_generation=gone.generation,
            force=True,
        )
        await client.create(dataclasses.replace(deployments.SHOP, name="s000"))
        listed = [item.resource.name for item in first.items]
        token = first.next_page_token
        while token:
            page = await client.list_page(
                _KIND.SERVICE, page_size=4, page_token=token
            )
            listed.extend(item.resource.name for item in page.items)
            token = page.next_page_token
        assert listed == names
        with pytest.raises(errors.WharfError) as refused:
            await client.list_page(
                _KIND.ENDPOINT, page_token=first.next_page_token
            )
        assert refused.value.kind is errors.ErrorKind.BAD_REQUEST


async def test_an_apply_validates_all_resources_first():
    """Invalid resources must not leave an apply of many half done."""
    async with deployments.running("e1") as deployment:
        many = [
            dataclasses.replace(deployments.TILL, name=f"till-{number:04}")
            for number in range(600)
        ]
        bad = dataclasses.replace(many[-1], slots=0, service="none")
        client = deployment.client()
        for dry_run in (True, False):
            with pytest.raises(call_errors.OperatorError) as refused:
                await client.apply(
                    [deployments.SHOP, *many[:-1], bad], dry_run=dry_run
                )
            assert [str(one) for one in refused.value.violations] == [
                "endpoint till-0599.service: 'none' is unknown",
                "endpoint till-0599.slots: not above 0",
            ]
        assert await client.list_all(_KIND.SERVICE) == []
        reply = await client.apply([deployments.SHOP, *many])
        assert len(reply.items) == 601
        assert not reply.failed


async def test_an_apply_reports_changes_not_tried():
    """The log fails between two batches of one apply.

    The items must show which changes were applied and which did not run.
    """
    async with deployments.running("e1") as deployment:
        many = [
            dataclasses.replace(deployments.TILL, name=f"till-{number:04}")
            for number in range(1_200)
        ]
        log = deployment.bench.instances["e1"].log
        state = deployment.bench.instances["e1"].core.configuration
        client = deployment.client()
        await client.create(deployments.SHOP)
        state.listen(lambda _: setattr(log, "is_cut", True))
        reply = await client.apply(many)
        in_force = [item for item in reply.items if item.error is None]
        assert len(in_force) == submission.BATCH_SIZE
        assert {item.error.ran for item in reply.failed if item.error} == {
            errors.Ran.NO
        }
        assert len(reply.failed) == len(many) - submission.BATCH_SIZE


async def test_an_apply_yields_to_the_event_loop():
    """Applying a large file must not block the event loop."""
    async with deployments.running("e1") as deployment:
        operators = deployment.bench.instances["e1"].operators
        many = [
            dataclasses.replace(deployments.TILL, name=f"till-{number:04}")
            for number in range(40 * pacing.CHUNK_SIZE)
        ]
        turns = 0

        async def relay() -> None:
            nonlocal turns
            while True:
                await asyncio.sleep(0)
                turns += 1

        relaying = asyncio.ensure_future(relay())
        await operators.editor.apply(
            _ADMIN, [deployments.SHOP, *many], dry_run=True
        )
        relaying.cancel()
        # Differences, permission checks and validation each yield.
        assert turns >= 3 * 39


async def test_a_change_keeps_fields_of_a_newer_version():
    """A change must keep resource fields that only newer versions know."""
    async with deployments.running("e1") as deployment:
        client = deployment.client()
        await client.create(deployments.SHOP)
        newer = resource_codec.dump(deployments.TILL) | {"paint": "blue"}
        change = records.Change(
            operation_id="newer",
            actor="newer",
            verb=records.Verb.PUT,
            kind=_KIND.ENDPOINT.value,
            name=deployments.TILL.name,
            expected_generation=0,
            body=newer,
        )
        await deployment.bench.log.append(
            records.STREAM, [records.encode(change)]
        )
        await client.get(
            _KIND.ENDPOINT, deployments.TILL.name, not_before_offset=2
        )
        await client.set_drained("till-1", drained=True, force=True)
        state = deployment.bench.instances["e1"].core.configuration.current
        entry = state.get(_KIND.ENDPOINT, "till-1")
        assert entry is not None
        assert entry.body()["paint"] == "blue"
        assert entry.body()["drained"]


def _append_started(log) -> asyncio.Event:
    """Returns an event that is set when an instance starts an append."""
    started = asyncio.Event()
    append = log.append

    async def record_append(stream, payloads):
        if stream == records.STREAM:
            started.set()
        return await append(stream, payloads)

    log.append = record_append
    return started
