"""Replicas are spread over failure domains and change with few instances."""

from __future__ import annotations

import collections

import pytest

from jujubewharf.leadership import replica_choice
from jujubewharf.peers import origin_messages


def _instances(count: int, domains: str = "abcd"):
    return [
        origin_messages.ReplicaAddress(f"e{n}:1", domains[n % len(domains)])
        for n in range(count)
    ]


@pytest.mark.parametrize("count", [1, 6, 20, 67, 300])
def test_each_domain_has_replicas(count):
    instances = _instances(count)
    chosen = replica_choice.choose_replicas(instances)
    members = collections.Counter(i.domain for i in instances)
    replicas = collections.Counter(r.domain for r in chosen)
    assert replicas == {d: min(3, n) for d, n in members.items()}


def test_one_domain_has_as_many_as_several():
    assert len(replica_choice.choose_replicas(_instances(20, "a"))) == 6


def test_killed_instance_changes_one_replica_at_most():
    instances = _instances(67)
    before = set(replica_choice.choose_replicas(instances))
    for killed in instances:
        left = [i for i in instances if i != killed]
        after = set(replica_choice.choose_replicas(left))
        assert len(before - after) == (killed in before)


def test_order_has_own_domain_and_the_others_in_turn():
    chosen = replica_choice.choose_replicas(_instances(20))
    domains = {replica.address: replica.domain for replica in chosen}
    order = replica_choice.ReplicaOrder.for_instance(
        chosen, address=chosen[0].address, domain="a"
    )
    assert chosen[0].address not in order.near
    assert {domains[address] for address in order.near} == {"a"}
    assert {domains[address] for address in order.far[:3]} == set("bcd")
    assert len(order.near) + len(order.far) == len(chosen) - 1
