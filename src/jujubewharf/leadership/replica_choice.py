"""Chooses the instances that keep where the streams of others began.

The leader chooses some in each failure domain, so that an instance finds one
whatever part of the fleet it reaches, and keeps links to few others.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import hashlib
import itertools
import math

from jujubewharf.peers import origin_messages

# Replicas in each failure domain, and in all where there are few domains.
_DOMAIN_REPLICAS = 3
_MIN_REPLICAS = 6
_DIGEST_BYTES = 8


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaOrder:
    """Addresses of the replicas, as one instance uses them.

    Attributes:
        near: Replicas in its failure domain.
        far: Replicas in other domains, each domain in turn.
    """

    near: tuple[str, ...] = ()
    far: tuple[str, ...] = ()

    @classmethod
    def for_instance(
        cls,
        replicas: Iterable[origin_messages.ReplicaAddress],
        *,
        address: str,
        domain: str,
    ) -> ReplicaOrder:
        """Returns the order in which an instance uses the replicas.

        It stays the same for one instance, which so keeps few links, and
        differs between instances, which so spread their streams.

        Args:
            replicas: All replicas.
            address: Address of the instance, which is left out.
            domain: Its failure domain.
        """
        others = sorted(
            (replica for replica in replicas if replica.address != address),
            key=lambda replica: _digest(address, replica.address),
        )
        near = [r.address for r in others if r.domain == domain]
        by_domain: dict[str, list[str]] = {}
        for replica in others:
            if replica.domain != domain:
                addresses = by_domain.setdefault(replica.domain, [])
                addresses.append(replica.address)
        turns = itertools.zip_longest(*by_domain.values())
        far = [a for turn in turns for a in turn if a is not None]
        return cls(tuple(near), tuple(far))

    def __bool__(self) -> bool:
        return bool(self.near or self.far)


def choose_replicas(
    instances: Sequence[origin_messages.ReplicaAddress],
) -> tuple[origin_messages.ReplicaAddress, ...]:
    """Chooses replicas, which stay the same while their instances do."""
    by_domain: dict[str, list[origin_messages.ReplicaAddress]] = {}
    for instance in sorted(instances, key=lambda i: _digest(i.address)):
        by_domain.setdefault(instance.domain, []).append(instance)
    if not by_domain:
        return ()
    count = max(_DOMAIN_REPLICAS, math.ceil(_MIN_REPLICAS / len(by_domain)))
    return tuple(
        replica
        for _, members in sorted(by_domain.items())
        for replica in members[:count]
    )


def _digest(*addresses: str) -> bytes:
    data = "\n".join(addresses).encode()
    return hashlib.blake2b(data, digest_size=_DIGEST_BYTES).digest()
