"""Which peers an instance keeps a standing link to.

The number of links must not grow with the fleet: at 380 instances a link to
everybody would cost more in heartbeats alone than the whole budget for
control. Within the domain an instance links to all while they are few, else
to a fixed number by rendezvous hash; across domains to one member in each of
a fixed number of domains. The links of the others to it add about as many
again, which together keep the graph connected with a wide margin.
"""

from __future__ import annotations

from collections.abc import Iterable

from jujubewharf import hashing
from jujubewharf.membership import view

ALL_IN_DOMAIN = 8
DOMAIN_LINKS = 4
CROSS_LINKS = 2


def choose(
    myself: view.Member, others: Iterable[view.Member]
) -> tuple[str, ...]:
    """Names of the chosen peers, by name."""
    by_domain: dict[str, list[str]] = {}
    for member in others:
        by_domain.setdefault(member.domain, []).append(member.instance)
    near = by_domain.pop(myself.domain, [])
    if len(near) > ALL_IN_DOMAIN:
        near = hashing.rank(myself.instance, near)[:DOMAIN_LINKS]
    domains = hashing.rank(myself.instance, by_domain)[:CROSS_LINKS]
    far = [
        hashing.rank(myself.instance, by_domain[domain])[0]
        for domain in domains
    ]
    return tuple(sorted([*near, *far]))
