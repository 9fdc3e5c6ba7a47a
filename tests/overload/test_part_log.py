"""Lines about the settings in force and the parts that are active."""

from __future__ import annotations

import dataclasses

import pytest
import structlog

from jujubewharf import bearer
from jujubewharf.forwarding import accounts
from jujubewharf.forwarding import routes
from jujubewharf.forwarding import settings as all_settings
from jujubewharf.overload import part_log
from jujubewharf.overload import parts
from jujubewharf.standins import plain_slots
from tests.forwarding import class_loads
from tests.forwarding import deployments
from tests.forwarding import test_settings

_ENGINES, _PLAIN = deployments.ENGINES, deployments.PLAIN


def _settings(**changes) -> all_settings.ForwardingSettings:
    return all_settings.ForwardingSettings.model_validate(
        test_settings.GOOD | changes
    )


def _changes(lines, event: str) -> list[tuple[str, str, str]]:
    return sorted(
        (x["service"], x["part"], x["reason"])
        for x in lines
        if x["event"] == event
    )


async def _reporting_deployment() -> deployments.Deployment:
    behind = deployments.plain_endpoint("s1", slots=plain_slots.PlainSlots())
    return deployments.Deployment(
        behind,
        deployments.prefill_engine("p1"),
        deployments.decode_engine("d1"),
    )


def test_part_becomes_active_and_inactive():
    """Each change of a part must have one line, with its reason."""

    async def main():
        world = await _reporting_deployment()
        with structlog.testing.capture_logs() as lines:
            await world.start("e1")
            await world.clock.sleep_ms(2 * part_log.CHECK_MS)
            assert not _changes(lines, "part_became_active")
            await world.ask("/sale/1")
            await world.clock.sleep_ms(2 * part_log.CHECK_MS)
            assert _changes(lines, "part_became_active") == [
                (_PLAIN, "plain_queue", "endpoints_report_load")
            ]
            lines.clear()
            changed = class_loads.configuration(
                2, all_accounts=class_loads.ACCOUNTS[:2]
            )
            sale = dataclasses.replace(deployments.SALE, priority=0)
            world.configurations.put(
                "config",
                dataclasses.replace(
                    changed,
                    routes=(*changed.routes, sale, deployments.LOOKUP),
                ),
            )
            await world.clock.sleep_ms(2 * part_log.CHECK_MS)
            assert _changes(lines, "part_became_active") == [
                (_PLAIN, "accounts", "several_accounts"),
                (_PLAIN, "classes", "several_priorities"),
                (_ENGINES, "accounts", "several_accounts"),
                (_ENGINES, "classes", "several_priorities"),
            ]
            lines.clear()
            instance = world.instances["e1"]
            instance.apply_settings(_settings(plain_calls={"queue": False}))
            assert _changes(lines, "part_became_inactive") == [
                (_PLAIN, "accounts", "no_queue"),
                (_PLAIN, "classes", "no_queue"),
                (_PLAIN, "plain_queue", "switched_off"),
            ]
            lines.clear()
            instance.apply_settings(_settings(admission={"is_enabled": False}))
            assert _changes(lines, "part_became_inactive") == [
                (_ENGINES, "accounts", "switched_off"),
                (_ENGINES, "classes", "switched_off"),
            ]
            assert _changes(lines, "part_became_active") == [
                (_PLAIN, "plain_queue", "endpoints_report_load")
            ]
            lines.clear()
            await world.clock.sleep_ms(3 * part_log.CHECK_MS)
            assert not _changes(lines, "part_became_active")
            assert not _changes(lines, "part_became_inactive")
        await world.stop()

    deployments.run(main())


def test_settings_are_logged_at_start_and_on_change():
    """The lines must tell what is in force, with the reason of each part."""

    async def main():
        world = await _reporting_deployment()
        with structlog.testing.capture_logs() as lines:
            await world.start("e1")
            world.instances["e1"].apply_settings(
                _settings(
                    admission={
                        "account_weights": {f"a{n}": n + 1 for n in range(40)},
                        "starving_share": 0.25,
                    }
                )
            )
        await world.stop()
        return [x for x in lines if x["event"] == "settings_in_force"]

    at_start, changed = deployments.run(main())
    assert at_start["starving_share"] == 0.5
    assert at_start["plain_queue"]
    assert changed["starving_share"] == 0.25
    assert changed["weight_count"] == 40
    assert len(changed["account_weights"]) == 10
    assert changed["account_weights"]["a39"] == 40.0
    assert changed["parts"][_ENGINES] == {
        "classes": "inactive: one_priority",
        "accounts": "inactive: one_account",
        "engine_speeds": "inactive: speeds_equal",
    }
    assert (
        changed["parts"][_PLAIN]["plain_queue"] == "inactive: no_load_reports"
    )


def _account(name: str, priority: int | None) -> accounts.Account:
    digest = bearer.token_digest(f"key-{name}")
    return accounts.Account(name, (digest,), priority=priority)


@pytest.mark.parametrize(
    ("all_accounts", "route_priorities", "several"),
    [
        (None, (5,), False),
        (None, (0, 5), True),
        ((_account("a", 0),), (0, 5), False),
        ((_account("a", 0), _account("b", 1)), (5,), True),
        ((_account("a", 0), _account("b", None)), (5,), True),
        ((_account("a", 5), _account("b", None)), (5,), False),
    ],
)
def test_priorities_of_routes_and_accounts(
    all_accounts, route_priorities, several
):
    """An account's priority precedes the route's, as for requests."""
    all_routes = tuple(
        dataclasses.replace(
            deployments.SALE, name=f"r{p}", path_prefix=f"/{p}/", priority=p
        )
        for p in route_priorities
    )
    configuration = routes.RoutingConfiguration(
        1, all_routes, deployments.SERVICES, accounts=all_accounts
    )
    by_name = {s.name: s for s in parts.configured_services(configuration)}
    assert by_name[_PLAIN].has_several_priorities is several


@pytest.mark.parametrize("differ", [True, False])
def test_speeds_that_differ_activate_the_ranks(differ):
    """The part of engine speeds must follow what is observed."""
    service = parts.ConfiguredService(_ENGINES, True, False, False)
    observed = parts.Observed(lambda name: False, lambda name: differ)
    states = dict(parts.states_of(service, parts.Switches(), observed))
    assert states[parts.Part.ENGINE_SPEEDS].is_active is differ
