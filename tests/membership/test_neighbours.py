"""Standing links at the target fleet size: few, balanced and connected."""

from __future__ import annotations

import collections
import statistics

from jujubewharf.membership import neighbours
from jujubewharf.membership import view

SIZE = 380
DOMAINS = 15


def _fleet(size: int, domains: int) -> list[view.Member]:
    return [
        view.Member(f"e{n:03}", f"127.0.0.1:{n}", f"d{n % domains:02}")
        for n in range(size)
    ]


def _links(members: list[view.Member]) -> dict[str, set[str]]:
    linked: dict[str, set[str]] = collections.defaultdict(set)
    for member in members:
        others = [other for other in members if other is not member]
        for name in neighbours.select_peers(member, others):
            linked[member.instance].add(name)
            linked[name].add(member.instance)
    return linked


def _count_reachable(linked: dict[str, set[str]], start: str) -> int:
    reached, frontier = {start}, {start}
    while frontier:
        frontier = {n for name in frontier for n in linked[name]} - reached
        reached |= frontier
    return len(reached)


def test_links_are_few_and_connect_the_fleet():
    linked = _links(_fleet(SIZE, DOMAINS))
    degrees = [len(names) for names in linked.values()]
    assert statistics.mean(degrees) <= 12
    assert max(degrees) <= 24
    assert _count_reachable(linked, "e000") == SIZE


def test_fleet_stays_connected_without_a_domain_and_a_tenth():
    """The graph stays connected without one domain and a tenth of the rest."""
    remaining = [
        member
        for number, member in enumerate(_fleet(SIZE, DOMAINS))
        if member.domain != "d07" and number % 10
    ]
    linked = _links(remaining)
    assert _count_reachable(linked, remaining[0].instance) == len(remaining)


def test_new_member_changes_few_links():
    members = _fleet(SIZE, DOMAINS)
    before = _links(members)
    after = _links([*members, view.Member("new", "127.0.0.1:9", "d03")])
    moved = [
        (name, other)
        for name, others in before.items()
        for other in others - after[name]
    ]
    assert len(moved) <= 24


def test_small_domains_are_fully_linked():
    linked = _links(_fleet(9, 3))
    for member in _fleet(9, 3):
        near = {
            other.instance
            for other in _fleet(9, 3)
            if other.domain == member.domain
        } - {member.instance}
        assert near <= linked[member.instance]
