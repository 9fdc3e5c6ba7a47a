"""Valid changes of the settings file take effect, invalid ones do not."""

from __future__ import annotations

import json

import structlog

from jujubewharf import clock as clocks
from jujubewharf.experiments import virtual_time
from jujubewharf.forwarding import reloading
from jujubewharf.forwarding import settings as all_settings
from tests.forwarding import deployments
from tests.forwarding import test_settings


class _ReloadedFile:
    """A settings file, its reloader and the settings that were applied."""

    def __init__(self, tmp_path):
        self.path = tmp_path / "settings.json"
        self.write({})
        self.applied: list[all_settings.ForwardingSettings] = []
        self.clock = clocks.Clock(wall_origin_ms=0.0)
        self.reloader = reloading.SettingsReloader(
            self.path,
            all_settings.read(self.path),
            self.clock,
            apply=self.applied.append,
        )

    def write(self, changes) -> None:
        self.path.write_text(json.dumps(test_settings.GOOD | changes))


def _run(tmp_path, scenario):
    """Runs a test and returns the events that were logged."""

    async def main():
        watched = _ReloadedFile(tmp_path)
        await watched.reloader.start()
        try:
            with structlog.testing.capture_logs() as lines:
                await scenario(watched)
        finally:
            await watched.reloader.stop()
        return lines

    return virtual_time.run(main())


_RETRIES = {"retries": {"ratio": 0.1, "slack": 7, "window_s": 10}}


def test_plain_queue_is_switched_without_a_restart(tmp_path):
    async def scenario(watched):
        watched.write({"plain_calls": {"queue": False}})
        watched.reloader.request()
        await watched.clock.sleep_ms(1.0)
        assert [s.plain_calls.queue for s in watched.applied] == [False]

    _run(tmp_path, scenario)


def test_wrong_plain_queue_is_rejected(tmp_path):
    async def scenario(watched):
        watched.write({"plain_calls": {"queue": "sometimes"}})
        watched.reloader.request()
        await watched.clock.sleep_ms(1.0)
        assert not watched.applied
        assert watched.reloader.settings.plain_calls.queue

    lines = _run(tmp_path, scenario)
    assert any(line["event"] == "settings_rejected" for line in lines)


def test_signal_applies_changes_immediately(tmp_path):
    """Live settings take effect without a restart."""

    async def scenario(watched):
        watched.write(_RETRIES)
        watched.reloader.request()
        await watched.clock.sleep_ms(10.0)
        assert [s.retries.slack for s in watched.applied] == [7.0]

    (line,) = _run(tmp_path, scenario)
    assert line["event"] == "settings_reloaded"
    assert line["changed"] == ["retries"]
    assert line["needs_restart"] == []


def test_changes_are_found_without_a_signal(tmp_path):
    async def scenario(watched):
        watched.write(_RETRIES)
        await watched.clock.sleep_ms(reloading.CHECK_MS + 10.0)
        assert len(watched.applied) == 1
        await watched.clock.sleep_ms(3 * reloading.CHECK_MS)
        assert len(watched.applied) == 1

    assert len(_run(tmp_path, scenario)) == 1


def test_changes_that_need_a_restart_are_logged(tmp_path):
    async def scenario(watched):
        watched.write({"domain": "b"})
        watched.reloader.request()
        await watched.clock.sleep_ms(10.0)
        assert watched.applied == []
        assert watched.reloader.settings.domain == "a"

    (line,) = _run(tmp_path, scenario)
    assert line["needs_restart"] == ["domain"]


def test_incomplete_file_changes_nothing(tmp_path):
    """An incomplete file is ignored, and the complete one is read later.

    The second read needs no signal.
    """

    async def scenario(watched):
        watched.path.write_text('{"instance": "e1", "dom')
        watched.reloader.request()
        await watched.clock.sleep_ms(10.0)
        assert watched.applied == []
        watched.write(_RETRIES)
        await watched.clock.sleep_ms(reloading.CHECK_MS + 10.0)
        assert len(watched.applied) == 1

    events = [line["event"] for line in _run(tmp_path, scenario)]
    assert events == ["settings_rejected", "settings_reloaded"]


def test_new_limits_apply_to_earlier_counts():
    async def main():
        async with deployments.deployed(
            deployments.plain_endpoint("s1")
        ) as world:
            instance = world.instances["e1"]
            before = instance.retries_left()[deployments.PLAIN]
            assert before > 5.0
            settings = all_settings.ForwardingSettings.model_validate(
                test_settings.GOOD
                | {"retries": {"ratio": 0.0, "slack": 0.0, "window_s": 10}}
            )
            instance.apply_settings(settings)
            assert instance.retries_left()[deployments.PLAIN] <= 0.0

    deployments.run(main())


def test_invalid_weight_leaves_the_old_settings_in_force(tmp_path):
    """One bad weight must not reset the order of waiting requests."""

    async def scenario(watched):
        watched.write({"admission": {"account_weights": {"a": 3}}})
        watched.reloader.request()
        await watched.clock.sleep_ms(10.0)
        watched.write({"admission": {"account_weights": {"a": 0}}})
        watched.reloader.request()
        await watched.clock.sleep_ms(10.0)
        (applied,) = watched.applied
        assert applied.admission.account_weights == {"a": 3.0}
        assert watched.reloader.settings.admission == applied.admission

    reloaded, rejected = _run(tmp_path, scenario)
    assert reloaded["changed"] == ["admission"]
    assert rejected["event"] == "settings_rejected"
    assert "admission.account_weights.a" in rejected["detail"]


def test_weights_of_unknown_accounts_are_shown():
    """A misspelt account would otherwise have weight 1 unnoticed."""

    async def main():
        async with deployments.deployed(
            deployments.plain_endpoint("s1")
        ) as world:
            instance = world.instances["e1"]
            settings = all_settings.ForwardingSettings.model_validate(
                test_settings.GOOD
                | {"admission": {"account_weights": {"nobody": 2}}}
            )
            with structlog.testing.capture_logs() as lines:
                instance.apply_settings(settings)
                instance.apply_settings(settings)
            (line,) = (x for x in lines if "accounts" in x)
            assert line["event"] == "weights_of_unknown_accounts"
            assert line["accounts"] == ["nobody"]

    deployments.run(main())
