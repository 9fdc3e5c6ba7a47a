"""Role orders: lease, fencing, batches and engines that disappear."""

from __future__ import annotations

import contextlib

import structlog

from jujubewharf.configuration import resources
from jujubewharf.engines import client
from tests.forwarding import deployments

reader = deployments.reader
writer = deployments.writer


def _crowded():
    """Returns three prefill engines where the plan wants one."""
    readers = [reader(f"p{i}") for i in range(3)]
    return [*readers, *(writer(f"d{i}") for i in range(3))]


@contextlib.asynccontextmanager
async def _deployed(*engines, names=("e1",)):
    """Runs a deployment whose instances have cost estimates.

    A prefill costs a fifth of a decode.
    """
    async with deployments.deployed(*engines, names=names) as world:
        for instance in world.instances.values():
            for _ in range(12):
                instance.work.prefilled(94.0, prompt_tokens=5_200)
                instance.work.decoded(4_000.0, memory_part=0.12)
        yield world


def _orders(world):
    return [
        (backend.name, order)
        for backend in world.backends.by_name.values()
        for order in backend.orders
    ]


def test_the_holder_alone_gives_the_order():
    async def main():
        async with _deployed(*_crowded(), names=("e1", "e2", "e3")) as world:
            await world.clock.sleep_ms(8_000.0)
            given = _orders(world)
            assert len(given) == 2
            assert {order.role for _, order in given} == {resources.Role.DECODE}
            assert {order.holder for _, order in given} == {"e1"}
            for name, order in given:
                world.register(world.backends.by_name[name], role=order.role)
            await world.clock.sleep_ms(30_000.0)
            assert _orders(world) == given

    deployments.run(main())


def test_an_engine_that_was_ordered_to_change_gets_no_prompt():
    """Requests aren't sent to an engine that accepted a role order.

    It refuses prompts while its registration still shows the old role.
    """

    async def main():
        async with _deployed(*_crowded()) as world:
            while not (given := _orders(world)):
                await world.clock.sleep_ms(100.0)
            changing = [world.backends.by_name[name] for name, _ in given]
            for backend in changing:
                backend.is_changing = True
            answers = await world.ask_all(*["/verdicts/1"] * 6)
            assert all(answer.status == 200 for answer in answers)
            assert [backend.refused_readings for backend in changing] == [
                0 for _ in changing
            ]

    deployments.run(main())


def test_an_order_without_answer_is_left_until_it_can_not_be_late():
    """An unacknowledged order may be carried out late and undo a newer one."""

    async def main():
        engines = _crowded()
        for engine in engines:
            engine.next_fault = client.EngineFault.LOST
        async with _deployed(*engines) as world:
            given = []
            for _ in range(400):
                await world.clock.sleep_ms(100.0)
                if _orders(world) and not given:
                    given.append(world.clock.now_ms())
            assert given
            # The lease is acquired after 3 s; the order is lost soon after.
            assert given[0] > 13_000.0

    deployments.run(main())


def test_no_orders_while_the_store_is_away():
    async def main():
        async with _deployed(*_crowded()) as world:
            world.endpoints.is_down = True
            await world.clock.sleep_ms(20_000.0)
            assert _orders(world) == []

    deployments.run(main())


def test_a_fenced_order_is_not_repeated_under_the_same_token():
    async def main():
        engines = _crowded()
        async with _deployed(*engines) as world:
            for engine in engines:
                engine.next_fault = client.EngineFault.REFUSED_FENCE
            await world.clock.sleep_ms(30_000.0)
            assert _orders(world) == []
            fault = client.EngineFault.REFUSED_FENCE
            asked = [e.name for e in engines if e.next_fault is not fault]
            assert len(asked) == 1

    deployments.run(main())


def _balanced():
    """Returns one prefill and three decode engines, as the plan wants."""
    return [reader("p0", "a"), *(writer(f"d{i}", "b") for i in range(3))]


def test_engines_that_vanish_for_some_seconds_cause_no_order():
    """A short partition must not cause role changes.

    An order would only take effect when the engines are back.
    """

    async def main():
        async with _deployed(*_balanced()) as world:
            await world.clock.sleep_ms(8_000.0)
            cut_off = world.backends.by_name["p0"]
            cut_off.is_unreachable = True
            world.endpoints.put("p0", None)
            await world.clock.sleep_ms(5_500.0)
            cut_off.is_unreachable = False
            world.register(cut_off)
            await world.clock.sleep_ms(20_000.0)
            assert _orders(world) == []

    deployments.run(main())


def test_the_last_prefill_engine_that_leaves_is_replaced_soon():
    async def main():
        async with _deployed(*_balanced()) as world:
            await world.clock.sleep_ms(8_000.0)
            world.register(world.backends.by_name["p0"], drained=True)
            await world.clock.sleep_ms(3_500.0)
            ((_, order),) = _orders(world)
            assert order.role is resources.Role.PREFILL

    deployments.run(main())


def test_one_that_stays_away_is_replaced_later():
    async def main():
        async with _deployed(*_balanced()) as world:
            await world.clock.sleep_ms(8_000.0)
            world.backends.by_name["p0"].is_unreachable = True
            world.endpoints.put("p0", None)
            await world.clock.sleep_ms(10_000.0)
            ((_, order),) = _orders(world)
            assert order.role is resources.Role.PREFILL

    deployments.run(main())


def test_what_vanished_before_an_instance_held_the_lease_counts_from_then():
    """The wait for a lost engine must not restart with each lease holder."""

    async def main():
        async with _deployed(*_balanced()) as world:
            await world.clock.sleep_ms(8_000.0)
            world.groups.cut_off.add("e1")
            await world.clock.sleep_ms(4_000.0)
            world.backends.by_name["p0"].is_unreachable = True
            world.endpoints.put("p0", None)
            await world.clock.sleep_ms(5_000.0)
            world.groups.cut_off.clear()
            await world.clock.sleep_ms(1_000.0 + 3_000.0 + 2_500.0)
            ((_, order),) = _orders(world)
            assert order.role is resources.Role.PREFILL

    deployments.run(main())


def test_an_engine_that_began_anew_is_not_waited_for():
    """A crashed prefill engine is back under a new name as a decode engine.

    Waiting for its old name would leave the service without prefill.
    """

    async def main():
        async with _deployed(*_balanced()) as world:
            await world.clock.sleep_ms(8_000.0)
            old = world.backends.by_name["p0"]
            old.is_unreachable = True
            world.endpoints.put("p0", None)
            await world.clock.sleep_ms(2_000.0)
            again = writer("d9")
            world.backends.by_name["d9"] = again
            world.register(again, address=old.endpoint.address)
            await world.clock.sleep_ms(800.0 + 500.0 + 1_000.0 + 500.0)
            ((_, order),) = _orders(world)
            assert order.role is resources.Role.PREFILL

    deployments.run(main())


def test_an_old_entry_that_goes_after_the_new_one_came_starts_no_wait():
    """The old entry of a restarted engine expires after its new one appears."""

    async def main():
        async with _deployed(*_balanced()) as world:
            await world.clock.sleep_ms(8_000.0)
            old = world.backends.by_name["p0"]
            old.is_unreachable = True
            again = writer("d9")
            world.backends.by_name["d9"] = again
            world.register(again, address=old.endpoint.address)
            await world.clock.sleep_ms(2_000.0)
            world.endpoints.put("p0", None)
            await world.clock.sleep_ms(800.0 + 500.0 + 1_000.0 + 500.0)
            ((_, order),) = _orders(world)
            assert order.role is resources.Role.PREFILL

    deployments.run(main())


def test_one_that_takes_its_entry_out_and_still_answers_is_not_waited_for():
    """An engine that deregisters but still answers is shutting down.

    Unlike a crashed or partitioned engine it must be replaced at once.
    """

    async def main():
        async with _deployed(*_balanced()) as world:
            await world.clock.sleep_ms(8_000.0)
            world.endpoints.put("p0", None)
            with structlog.testing.capture_logs() as lines:
                await world.clock.sleep_ms(3_500.0)
            told = [x for x in lines if x["event"] == "engine_vanished"]
            assert [(x["engine"], x["answers"]) for x in told] == [("p0", True)]
            ((_, order),) = _orders(world)
            assert order.role is resources.Role.PREFILL

    deployments.run(main())


def test_before_costs_were_observed_the_declared_roles_stay():
    """Prefill engines must not be reassigned on assumed costs."""

    async def main():
        async with deployments.deployed(*_crowded()) as world:
            await world.clock.sleep_ms(30_000.0)
            assert _orders(world) == []

    deployments.run(main())


def test_without_a_prefill_engine_one_is_ordered_before_any_cost_is_known():
    async def main():
        writers = [writer(f"d{i}") for i in range(3)]
        async with deployments.deployed(*writers) as world:
            await world.clock.sleep_ms(8_000.0)
            ((_, order),) = _orders(world)
            assert order.role is resources.Role.PREFILL

    deployments.run(main())


def test_an_order_that_is_wanted_is_given_as_soon_as_the_lease_may_be_used():
    """A change that the plan settled on earlier isn't delayed further."""

    async def main():
        async with _deployed(*_crowded()) as world:
            # 1.1 s have passed since the start.
            await world.clock.sleep_ms(2_600.0)
            assert _orders(world)

    deployments.run(main())


def test_few_engines_change_at_the_same_time():
    """A wrong cost estimate must not reassign most engines at once."""

    async def main():
        behind = [reader("p1"), *(writer(f"d{i}") for i in range(8))]
        async with deployments.deployed(*behind) as world:
            work = world.instances["e1"].work
            for _ in range(20):
                work.prefilled(2_000.0, prompt_tokens=5_200)
                work.decoded(2_000.0, memory_part=0.12)
            await world.clock.sleep_ms(9_000.0)
            assert len(_orders(world)) == 3

    deployments.run(main())
