"""Which endpoints leave: the live list's word, or any instance's."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jujubewharf.membership import fact_store
from jujubewharf.platform import live_list

if TYPE_CHECKING:
    from jujubewharf.membership import facts
    from jujubewharf.membership import membership as memberships


class LeavingEndpoints:
    """Tells of an endpoint that it gets no new work.

    Args:
        membership: Knows the live list.
        all_facts: What instances tell one another.
    """

    def __init__(
        self, membership: memberships.Membership, all_facts: facts.Facts
    ) -> None:
        self._membership = membership
        self._facts = all_facts
        self._listed: tuple[live_list.LiveMember, ...] = ()
        self._leaving: frozenset[str] = frozenset()

    def __call__(self, endpoint: str) -> bool:
        """Whether there is any evidence that it leaves."""
        topic = fact_store.Topic.ENDPOINT_LEAVING
        if self._facts.get(topic, endpoint) is not None:
            return True
        return endpoint in self._by_list()

    def _by_list(self) -> frozenset[str]:
        # Made anew only with a new list: it names thousands of endpoints,
        # and every plain call asks.
        listed = self._membership.listed_endpoints()
        if listed is not self._listed:
            self._listed = listed
            self._leaving = frozenset(
                member.name
                for member in listed
                if member.state is live_list.LiveState.LEAVING
            )
        return self._leaving
