"""Role orders: lease, fencing, batches and engines that disappear."""

from __future__ import annotations

import contextlib

import structlog

from jujubewharf.configuration import resources
from jujubewharf.engines import client
from tests.forwarding import deployments

prefill_engine = deployments.prefill_engine
decode_engine = deployments.decode_engine


def _too_many_prefill_engines():
    """Returns three prefill engines where the plan wants one."""
    readers = [prefill_engine(f"p{i}") for i in range(3)]
    return [*readers, *(decode_engine(f"d{i}") for i in range(3))]


@contextlib.asynccontextmanager
async def _deployed(*engines, names=("e1",)):
    """Runs a deployment whose instances have cost estimates.

    A prefill costs a fifth of a decode.
    """
    async with deployments.deployed(*engines, names=names) as deployment:
        for instance in deployment.instances.values():
            for _ in range(12):
                instance.work.record_prefill(94.0, prompt_tokens=5_200)
                instance.work.record_decode(4_000.0, memory_share=0.12)
        yield deployment


def _received_orders(deployment):
    return [
        (backend.name, order)
        for backend in deployment.backends.by_name.values()
        for order in backend.orders
    ]


def test_only_lease_holder_orders():
    async def main():
        async with _deployed(
            *_too_many_prefill_engines(), names=("e1", "e2", "e3")
        ) as deployment:
            await deployment.clock.sleep_ms(8_000.0)
            orders = _received_orders(deployment)
            assert len(orders) == 2
            assert {order.role for _, order in orders} == {
                resources.Role.DECODE
            }
            assert {order.holder for _, order in orders} == {"e1"}
            for name, order in orders:
                deployment.register(
                    deployment.backends.by_name[name], role=order.role
                )
            await deployment.clock.sleep_ms(30_000.0)
            assert _received_orders(deployment) == orders

    deployments.run(main())


def test_no_prompts_to_engine_with_accepted_order():
    """Requests aren't sent to an engine that accepted a role order.

    It refuses prompts while its registration still shows the old role.
    """

    async def main():
        async with _deployed(*_too_many_prefill_engines()) as deployment:
            while not (orders := _received_orders(deployment)):
                await deployment.clock.sleep_ms(100.0)
            changing = [deployment.backends.by_name[name] for name, _ in orders]
            for backend in changing:
                backend.is_changing = True
            answers = await deployment.ask_all(*["/verdicts/1"] * 6)
            assert all(answer.status == 200 for answer in answers)
            assert [backend.rejected_prefills for backend in changing] == [
                0 for _ in changing
            ]

    deployments.run(main())


def test_unacknowledged_order_blocks_orders_to_other_engines():
    """An unacknowledged order may be carried out late and undo a newer one.

    It is sent again to the same engine, which changes nothing if it arrived.
    """

    async def main():
        engines = _too_many_prefill_engines()
        lost = client.EngineFault.LOST
        for engine in engines:
            engine.next_fault = lost
        async with _deployed(*engines) as deployment:
            while all(engine.next_fault is lost for engine in engines):
                await deployment.clock.sleep_ms(100.0)
            asked = {e.name for e in engines if e.next_fault is not lost}
            # The lease is acquired after 3 s; the order is lost soon after.
            assert deployment.clock.now_ms() < 4_000.0
            assert not _received_orders(deployment)
            while deployment.clock.now_ms() < 13_000.0:
                await deployment.clock.sleep_ms(100.0)
                now = {e.name for e in engines if e.next_fault is not lost}
                assert now == asked
            received = _received_orders(deployment)
            assert {name for name, _ in received} == asked
            assert len(received) == len(asked)
            assert len({role for _, role in received}) == 1

    deployments.run(main())


def test_no_orders_during_store_outage():
    async def main():
        async with _deployed(*_too_many_prefill_engines()) as deployment:
            deployment.endpoints.is_down = True
            await deployment.clock.sleep_ms(20_000.0)
            assert _received_orders(deployment) == []

    deployments.run(main())


def test_rejected_fencing_token_is_not_reused():
    async def main():
        engines = _too_many_prefill_engines()
        async with _deployed(*engines) as deployment:
            for engine in engines:
                engine.next_fault = client.EngineFault.REFUSED_FENCE
            await deployment.clock.sleep_ms(30_000.0)
            assert _received_orders(deployment) == []
            fault = client.EngineFault.REFUSED_FENCE
            asked = [e.name for e in engines if e.next_fault is not fault]
            assert len(asked) == 1

    deployments.run(main())


def _balanced():
    """Returns one prefill and three decode engines, as the plan wants."""
    return [
        prefill_engine("p0", "a"),
        *(decode_engine(f"d{i}", "b") for i in range(3)),
    ]


def test_short_absence_causes_no_order():
    """A short partition must not cause role changes.

    An order would only take effect when the engines are back.
    """

    async def main():
        async with _deployed(*_balanced()) as deployment:
            await deployment.clock.sleep_ms(8_000.0)
            cut_off = deployment.backends.by_name["p0"]
            cut_off.is_unreachable = True
            deployment.endpoints.put("p0", None)
            await deployment.clock.sleep_ms(5_500.0)
            cut_off.is_unreachable = False
            deployment.register(cut_off)
            await deployment.clock.sleep_ms(20_000.0)
            assert _received_orders(deployment) == []

    deployments.run(main())


def test_draining_last_prefill_engine_is_replaced_at_once():
    async def main():
        async with _deployed(*_balanced()) as deployment:
            await deployment.clock.sleep_ms(8_000.0)
            deployment.register(deployment.backends.by_name["p0"], drained=True)
            await deployment.clock.sleep_ms(3_500.0)
            ((_, order),) = _received_orders(deployment)
            assert order.role is resources.Role.PREFILL

    deployments.run(main())


def test_lost_prefill_engine_is_replaced_after_timeout():
    async def main():
        async with _deployed(*_balanced()) as deployment:
            await deployment.clock.sleep_ms(8_000.0)
            deployment.backends.by_name["p0"].is_unreachable = True
            deployment.endpoints.put("p0", None)
            await deployment.clock.sleep_ms(10_000.0)
            ((_, order),) = _received_orders(deployment)
            assert order.role is resources.Role.PREFILL

    deployments.run(main())


def test_absence_counts_from_before_the_lease_was_acquired():
    """The wait for a lost engine must not restart with each lease holder."""

    async def main():
        async with _deployed(*_balanced()) as deployment:
            await deployment.clock.sleep_ms(8_000.0)
            deployment.groups.cut_off.add("e1")
            await deployment.clock.sleep_ms(4_000.0)
            deployment.backends.by_name["p0"].is_unreachable = True
            deployment.endpoints.put("p0", None)
            await deployment.clock.sleep_ms(5_000.0)
            deployment.groups.cut_off.clear()
            await deployment.clock.sleep_ms(1_000.0 + 3_000.0 + 2_500.0)
            ((_, order),) = _received_orders(deployment)
            assert order.role is resources.Role.PREFILL

    deployments.run(main())


def test_restarted_engine_is_not_awaited():
    """A crashed prefill engine is back under a new name as a decode engine.

    Waiting for its old name would leave the service without prefill.
    """

    async def main():
        async with _deployed(*_balanced()) as deployment:
            await deployment.clock.sleep_ms(8_000.0)
            old = deployment.backends.by_name["p0"]
            old.is_unreachable = True
            deployment.endpoints.put("p0", None)
            await deployment.clock.sleep_ms(2_000.0)
            again = decode_engine("d9")
            deployment.backends.by_name["d9"] = again
            deployment.register(again, address=old.endpoint.address)
            await deployment.clock.sleep_ms(800.0 + 500.0 + 1_000.0 + 500.0)
            ((_, order),) = _received_orders(deployment)
            assert order.role is resources.Role.PREFILL

    deployments.run(main())


def test_late_expiry_of_old_entry_starts_no_wait():
    """The old entry of a restarted engine expires after its new one appears."""

    async def main():
        async with _deployed(*_balanced()) as deployment:
            await deployment.clock.sleep_ms(8_000.0)
            old = deployment.backends.by_name["p0"]
            old.is_unreachable = True
            again = decode_engine("d9")
            deployment.backends.by_name["d9"] = again
            deployment.register(again, address=old.endpoint.address)
            await deployment.clock.sleep_ms(2_000.0)
            deployment.endpoints.put("p0", None)
            await deployment.clock.sleep_ms(800.0 + 500.0 + 1_000.0 + 500.0)
            ((_, order),) = _received_orders(deployment)
            assert order.role is resources.Role.PREFILL

    deployments.run(main())


def test_deregistered_engine_that_answers_is_not_awaited():
    """An engine that deregisters but still answers is shutting down.

    Unlike a crashed or partitioned engine it must be replaced at once.
    """

    async def main():
        async with _deployed(*_balanced()) as deployment:
            await deployment.clock.sleep_ms(8_000.0)
            deployment.endpoints.put("p0", None)
            with structlog.testing.capture_logs() as lines:
                await deployment.clock.sleep_ms(3_500.0)
            told = [x for x in lines if x["event"] == "engine_vanished"]
            assert [(x["engine"], x["answers"]) for x in told] == [("p0", True)]
            ((_, order),) = _received_orders(deployment)
            assert order.role is resources.Role.PREFILL

    deployments.run(main())


def test_declared_roles_stay_until_costs_are_known():
    """Prefill engines must not be reassigned on assumed costs."""

    async def main():
        async with deployments.deployed(
            *_too_many_prefill_engines()
        ) as deployment:
            await deployment.clock.sleep_ms(30_000.0)
            assert _received_orders(deployment) == []

    deployments.run(main())


def test_missing_prefill_engine_is_ordered_without_costs():
    async def main():
        writers = [decode_engine(f"d{i}") for i in range(3)]
        async with deployments.deployed(*writers) as deployment:
            await deployment.clock.sleep_ms(8_000.0)
            ((_, order),) = _received_orders(deployment)
            assert order.role is resources.Role.PREFILL

    deployments.run(main())


def test_settled_change_is_ordered_once_token_is_usable():
    """A change that the plan settled on earlier isn't delayed further."""

    async def main():
        async with _deployed(*_too_many_prefill_engines()) as deployment:
            # 1.1 s have passed since the start.
            await deployment.clock.sleep_ms(2_600.0)
            assert _received_orders(deployment)

    deployments.run(main())


def test_concurrent_role_changes_are_limited():
    """A wrong cost estimate must not reassign most engines at once."""

    async def main():
        behind = [
            prefill_engine("p1"),
            *(decode_engine(f"d{i}") for i in range(8)),
        ]
        async with deployments.deployed(*behind) as deployment:
            estimates = deployment.instances["e1"].work
            for _ in range(20):
                estimates.record_prefill(2_000.0, prompt_tokens=5_200)
                estimates.record_decode(2_000.0, memory_share=0.12)
            await deployment.clock.sleep_ms(9_000.0)
            assert len(_received_orders(deployment)) == 3

    deployments.run(main())
