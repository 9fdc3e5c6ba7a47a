"""Decode engines of software versions in random releases."""

from __future__ import annotations

import dataclasses
import random

import pytest

from jujubewharf.configuration import resources
from jujubewharf.forwarding import registration
from jujubewharf.forwarding import role_plan

PREFILL = resources.Role.PREFILL
DECODE = resources.Role.DECODE
SEEDS = range(300)


def _engine(name: str, version: str, role, domain: str = "a"):
    return registration.Registration(
        name,
        "llm",
        f"{name}:1",
        domain,
        role,
        registered_as=name,
        software_version=version,
    )


def _applied(engines, changes):
    roles = {change.engine.name: change.role for change in changes}
    return [
        dataclasses.replace(e, role=roles.get(e.name, e.role)) for e in engines
    ]


def _versions(engines) -> list[str]:
    return [engine.software_version for engine in engines]


def _without_decode_engine(engines, draining=()) -> set[str]:
    """Versions with several engines, none of which decodes."""
    registered = _versions([*engines, *draining])
    decodable = set(_versions(e for e in engines if e.can_decode))
    return {
        version
        for version in _versions(engines)
        if registered.count(version) > 1 and version not in decodable
    }


class _Release:
    """Replaces the engines of a service one by one, forth or back.

    Args:
        seed: Fixes sizes, roles, domains, order and costs.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        count = self.rng.randrange(3, 16)
        self.engines = [self._new(f"a{n}", "v1") for n in range(count)]
        self.draining: list[registration.Registration] = []
        self.prefill_ms = self.rng.uniform(20.0, 2_000.0)
        self.decode_ms = self.rng.uniform(20.0, 2_000.0)
        self._number = 0

    def _new(self, name: str, version: str) -> registration.Registration:
        role = PREFILL if self.rng.random() < 0.4 else DECODE
        return _engine(name, version, role, self.rng.choice("abcd"))

    def step(self) -> None:
        """Starts an engine, or has one drain or leave."""
        self._number += 1
        if self.draining and self.rng.random() < 0.4:
            self.draining.pop(0)
        if self.rng.random() < 0.5 and len(self.engines) > 1:
            leaving = self.rng.choice(self.engines)
            self.engines.remove(leaving)
            self.draining.append(leaving)
            return
        version = self.rng.choice(("v1", "v2", "v2", "v3"))
        self.engines.append(self._new(f"b{self._number}", version))

    def plan(self) -> list[role_plan.RoleChange]:
        """Returns the plan's changes of roles, with costs that vary."""
        factor = self.rng.uniform(0.5, 2.0)
        is_known = self.rng.random() < 0.9
        return role_plan.plan_changes(
            self.engines,
            prefill_ms=self.prefill_ms * factor if is_known else None,
            decode_ms=self.decode_ms,
            min_gain=lambda role: self.rng.choice((0.1, 0.35)),
            draining=self.draining,
        )


# Streams of a version whose last decode engine became a prefill engine were
# refused, though engines of the version served.
@pytest.mark.parametrize("seed", SEEDS)
def test_versions_with_several_engines_can_decode(seed):
    release = _Release(seed)
    for _ in range(25):
        release.step()
        release.engines = _applied(release.engines, release.plan())
        assert not _without_decode_engine(release.engines, release.draining)


# At most a third of the engines change at the same time, so only the first
# changes of a plan may be carried out.
@pytest.mark.parametrize("seed", range(100))
def test_no_part_of_a_plan_takes_the_last_decode_engine(seed):
    release = _Release(seed)
    for _ in range(25):
        release.step()
        former = _without_decode_engine(release.engines, release.draining)
        changes = release.plan()
        for count in range(len(changes) + 1):
            engines = _applied(release.engines, changes[:count])
            left = _without_decode_engine(engines, release.draining)
            assert left <= former
            assert len(left) == max(0, len(former) - count)
        release.engines = _applied(release.engines, changes)


@pytest.mark.parametrize("seed", range(100))
def test_one_version_is_planned_as_if_it_had_none(seed):
    """Versions must not change the balance of a service that has one."""
    release = _Release(seed)
    plain = [
        dataclasses.replace(e, software_version="") for e in release.engines
    ]
    costs = {"prefill_ms": release.prefill_ms, "decode_ms": release.decode_ms}
    found = role_plan.plan_changes(
        release.engines, draining=release.engines[:1], **costs
    )
    expected = role_plan.plan_changes(plain, **costs)
    assert [(c.engine.name, c.role) for c in found] == [
        (c.engine.name, c.role) for c in expected
    ]


# Engines that change roles take 6 s; a draining decode engine leaves earlier.
def test_version_gets_a_decode_engine_while_its_last_one_drains():
    engines = [
        _engine("a1", "v1", PREFILL),
        _engine("a2", "v1", PREFILL),
        *(_engine(f"b{n}", "v2", DECODE) for n in range(4)),
    ]
    (change,) = role_plan.plan_changes(
        engines,
        prefill_ms=90.0,
        decode_ms=200.0,
        min_gain=lambda role: 10.0,
        draining=[_engine("a3", "v1", DECODE)],
    )
    assert change.engine.software_version == "v1"
    assert change.role is DECODE


def test_last_prefill_engine_of_a_version_with_draining_ones_changes():
    engines = [
        _engine("a1", "v1", PREFILL),
        *(_engine(f"b{n}", "v2", DECODE) for n in range(4)),
    ]
    changes = role_plan.plan_changes(
        engines,
        prefill_ms=90.0,
        decode_ms=800.0,
        draining=[_engine("a2", "v1", DECODE)],
    )
    assert [(c.engine.software_version, c.role) for c in changes] == [
        ("v1", DECODE),
        # Prompts need a prefill engine, of any version.
        ("v2", PREFILL),
    ]


def test_balance_takes_engines_of_versions_that_have_others():
    """The number of prefill engines is the same as without versions."""
    engines = [
        _engine("a1", "v1", DECODE, "a"),
        _engine("a2", "v1", PREFILL, "b"),
        *(_engine(f"b{n}", "v2", DECODE, "b") for n in range(6)),
    ]
    plain = [dataclasses.replace(e, software_version="") for e in engines]
    costs = {"prefill_ms": 90.0, "decode_ms": 90.0}
    found = role_plan.plan_changes(engines, **costs)
    expected = role_plan.plan_changes(plain, **costs)
    assert "a1" in [change.engine.name for change in expected]
    assert {change.engine.software_version for change in found} == {"v2"}
    assert len(found) == len(expected)


def test_single_engine_of_a_version_keeps_its_role():
    """It may be the first of a release, and hasn't begun any stream."""
    engines = [
        _engine("b1", "v2", PREFILL),
        *(_engine(f"a{n}", "v1", DECODE) for n in range(4)),
    ]
    assert not role_plan.plan_changes(engines, prefill_ms=90.0, decode_ms=360.0)
