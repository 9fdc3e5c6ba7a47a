"""Settings that change in the middle of a burst lose no request."""

from __future__ import annotations

import asyncio
import contextlib
import json

import pytest

from jujubewharf.forwarding import reloading
from jujubewharf.forwarding import settings as all_settings
from tests.forwarding import class_loads
from tests.forwarding import deployments
from tests.forwarding import test_settings
from tests.leadership import plain_bursts

# Written one after the other; those marked False are refused.
_CHANGES = (
    ({"admission": {"account_weights": {"a0": 4}}}, True),
    ({"admission": {"account_weights": {"a0": -4}}}, False),
    ({"admission": {"account_weights": {"a1": 9}, "starving_share": 1}}, True),
    ({"admission": {"starving_share": 0}}, False),
    ({"plain_calls": {"queue": True, "unknown": 1}}, False),
    ({"admission": {"is_enabled": False}}, True),
    ({"admission": {"account_weights": {"a2": 1e9}}}, False),
    ({"admission": {"starving_share": 0.1}}, True),
)


@contextlib.asynccontextmanager
async def _reloaded(world, tmp_path):
    """Yields a function that writes a file and reloads it everywhere."""
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(test_settings.GOOD))
    async with contextlib.AsyncExitStack() as stack:
        reloaders = []
        for instance in world.instances.values():
            reloader = reloading.SettingsReloader(
                path,
                all_settings.read(path),
                world.clock,
                apply=instance.apply_settings,
            )
            await reloader.start()
            stack.push_async_callback(reloader.stop)
            reloaders.append(reloader)

        async def write(changes, *, is_valid: bool) -> None:
            before = [r.settings for r in reloaders]
            path.write_text(json.dumps(test_settings.GOOD | changes))
            for reloader in reloaders:
                reloader.request()
            await world.clock.sleep_ms(5.0)
            after = [r.settings for r in reloaders]
            if is_valid:
                assert all(s.admission == after[0].admission for s in after)
                assert after != before
            else:
                assert after == before

        yield write


async def _change_all(world, write, *, every_ms: float) -> None:
    for changes, is_valid in _CHANGES:
        await world.clock.sleep_ms(every_ms)
        await write(changes, is_valid=is_valid)


def _plain_burst(tmp_path, *, has_changes: bool):
    async def main():
        world = await plain_bursts.started(*plain_bursts.endpoints())
        calls = plain_bursts.burst(
            world, per_s=2 * plain_bursts.CAPACITY_PER_S, for_ms=2_000.0
        )
        async with _reloaded(world, tmp_path) as write:
            if has_changes:
                await _change_all(world, write, every_ms=150.0)
            answers = await calls
        plain_bursts.check_answers(world, answers)
        await world.clock.sleep_ms(3_000.0)
        plain_bursts.check_nothing_left(world)
        await world.stop()
        return answers

    return deployments.run(main())


def test_changes_lose_no_plain_call(tmp_path):
    """Each waiting call must be decided, and as many served as before."""
    unchanged = _plain_burst(tmp_path, has_changes=False)
    changed = _plain_burst(tmp_path, has_changes=True)
    assert len(changed) == len(unchanged)
    served = [sum(a.status == 200 for a in x) for x in (unchanged, changed)]
    assert served[1] >= 0.97 * served[0]


@pytest.mark.parametrize("is_led", [False, True])
def test_changes_lose_no_model_request(tmp_path, is_led):
    """Each waiting request must be answered or refused in time."""

    async def main():
        names = ["e1", "e2", "e3"] if is_led else ["e1"]
        async with class_loads.deployed(
            *names, all_accounts=class_loads.ACCOUNTS[:3], is_led=is_led
        ) as world:
            if is_led:
                await world.clock.sleep_ms(3_000.0)
            load = class_loads.Load(world, seed=5)
            room = class_loads.ROOM_PER_S
            async with _reloaded(world, tmp_path) as write:
                await asyncio.gather(
                    _change_all(world, write, every_ms=500.0),
                    *(
                        load.send(
                            route,
                            per_s=room * part,
                            for_ms=5_000.0,
                            account=account,
                        )
                        for route, part, account in (
                            (class_loads.URGENT, 0.4, 0),
                            (class_loads.PATIENT, 1.0, 1),
                            (class_loads.PATIENT, 0.3, 2),
                        )
                    ),
                )
                asked = await load.finish()
            for instance in world.instances.values():
                assert not any(instance.overload.waits().values())
        return asked

    asked = deployments.run(main())
    assert all(a.is_served or a.answer.error is not None for a in asked)
    refused = [a.answer.error for a in asked if not a.is_served]
    assert refused
    assert all(e.retry_after_ms is not None for e in refused)
    assert all(e.ran.value == "no" for e in refused)
    for account in ("a0", "a1", "a2"):
        of_account = [a for a in asked if a.account == account]
        assert class_loads.served_share(of_account) > 0.0
