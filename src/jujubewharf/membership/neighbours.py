"""Selects the peers to which an instance keeps a standing link.

The number of links per instance is bounded, so that heartbeat traffic does
not grow with the fleet: with 380 fully connected instances, heartbeats alone
would exceed the budget for control traffic. In its own failure domain an
instance links to all members of a small domain, else to a fixed number chosen
by rendezvous hashing. It also links to one member in each of a fixed number of
other domains. Links opened by other instances roughly double the degree, which
keeps the graph connected when members fail.
"""

from __future__ import annotations

from collections.abc import Iterable

from jujubewharf import hashing
from jujubewharf.membership import view

MAX_FULLY_LINKED_PEERS = 8
DOMAIN_LINKS = 4
CROSS_DOMAIN_LINKS = 2


def select_peers(
    local_member: view.Member, others: Iterable[view.Member]
) -> tuple[str, ...]:
    """Returns the names of the chosen peers, sorted."""
    by_domain: dict[str, list[str]] = {}
    for member in others:
        by_domain.setdefault(member.domain, []).append(member.instance)
    same_domain = by_domain.pop(local_member.domain, [])
    if len(same_domain) > MAX_FULLY_LINKED_PEERS:
        same_domain = hashing.rank(local_member.instance, same_domain)[
            :DOMAIN_LINKS
        ]
    domains = hashing.rank(local_member.instance, by_domain)[
        :CROSS_DOMAIN_LINKS
    ]
    other_domains = [
        hashing.rank(local_member.instance, by_domain[domain])[0]
        for domain in domains
    ]
    return tuple(sorted([*same_domain, *other_domains]))
