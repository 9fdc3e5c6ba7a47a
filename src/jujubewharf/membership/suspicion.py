"""Which members are not heard: by this instance's links, or by report.

An instance watches only the peers that it has links to. Of the others it
learns by reports, which it believes when two watchers give them that stand
in its own domain or in the silent one's: what a third domain doesn't hear
says nothing about the way from here.
"""

from __future__ import annotations

import collections
from collections.abc import Mapping
import dataclasses
import random
from typing import TYPE_CHECKING
from typing import Any

from jujubewharf.membership import facts as all_facts
from jujubewharf.membership import member_facts
from jujubewharf.membership import view

if TYPE_CHECKING:
    from jujubewharf import clock as clocks
    from jujubewharf.peers import mesh as meshes
    from jujubewharf.peers import peer as peers

REPORTS_TO_BELIEVE = 2

_ENOUGH_REPORTS = 3
_REPORT_TTL_MS = 30_000.0
_RENEW_MS = 15_000.0
_REPORT_SPREAD_MS = 1_500.0
_PROBE_MS = 2_000.0
_PROBE_AGAIN_MS = 10_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Reported:
    """This instance's own report: when it was given, and of which process."""

    at_ms: float
    incarnation: int


class Suspicion:
    """Finds the members that are not heard.

    Args:
        mesh: The links.
        facts: Where reports are given and found.
        domain: Failure domain of this instance.
        clock: Time.
        timing: Times of the links.
    """

    def __init__(
        self,
        mesh: meshes.PeerMesh,
        facts: all_facts.Facts,
        domain: str,
        clock: clocks.Clock,
        *,
        timing: peers.Timing,
    ) -> None:
        self._mesh = mesh
        self._facts = facts
        self._domain = domain
        self._clock = clock
        self._timing = timing
        self._known_since_ms: dict[str, float] = {}
        self._reports: dict[str, _Reported] = {}
        self._due_ms: dict[str, float] = {}
        self._random = random.Random(mesh.instance)
        self._probed_ms: dict[str, float] = {}
        self._last_probe_ms = 0.0
        self._checked_ms: float | None = None
        self._resumed_ms = float("-inf")

    def find(self, members: Mapping[str, view.Member]) -> frozenset[str]:
        """Names of the members that are not heard.

        Looks only at peers that the links know and at members that reports
        are about: both stay few while the fleet grows.
        """
        self._notice_pause()
        told = self._reported(members)
        found = set()
        for name in self._mesh.known():
            if name not in members:
                continue
            is_silent = self.is_silent(name)
            self._report(name, is_silent, len(told.get(name, ())))
            if is_silent:
                found.add(name)
        for name, reports in told.items():
            if self._is_told(name, reports):
                found.add(name)
        return frozenset(found)

    def on_members(self, members: Mapping[str, view.Member]) -> None:
        """Notes since when members are known and forgets the gone."""
        now_ms = self._clock.now_ms()
        for name in members:
            self._known_since_ms.setdefault(name, now_ms)
        held: dict[str, Any]
        for held in (
            self._known_since_ms,
            self._reports,
            self._due_ms,
            self._probed_ms,
        ):
            for name in [name for name in held if name not in members]:
                del held[name]

    def is_heard(self, name: str) -> bool:
        """Whether a link heard the peer within the time for suspicion."""
        heard_ms = self._mesh.contact(name).heard_ms
        return heard_ms is not None and self._is_recent(heard_ms)

    def is_silent(self, name: str) -> bool:
        """Whether this instance itself has evidence against the peer."""
        contact = self._mesh.contact(name)
        if contact.failed_ms is not None:
            # A dial that failed beside a link that came back would else be
            # held against the peer for ever: no further dial follows it.
            heard_ms = contact.heard_ms
            if heard_ms is None or heard_ms <= contact.failed_ms:
                return True
        if not contact.is_watched:
            return False
        if not contact.hears_us and not self._is_recent(self._resumed_ms):
            # After a pause of this process the word that it is not heard
            # was true, and is out of date.
            return True
        since_ms = contact.heard_ms
        if since_ms is None:
            since_ms = self._known_since_ms.get(name, self._clock.now_ms())
        return not self._is_recent(since_ms)

    def on_hello(self, domain: str, members: Mapping[str, view.Member]) -> None:
        """Takes a hello from a domain as a sign that the way there is open.

        After a partition heals, the members that were found unreachable by
        probes would else be passed over until each is probed again.
        """
        for name, member in members.items():
            contact = self._mesh.contact(name)
            if member.domain == domain and not contact.is_watched:
                self._mesh.forgive(name)

    def next_probe(
        self, members: Mapping[str, view.Member], suspected: frozenset[str]
    ) -> str | None:
        """A member in doubt that should be dialled now, if any.

        In doubt is who stands in a domain of a suspected member and is not
        watched from here. Without probes the members of a domain that was
        cut off would be found out one failed request at a time, and one
        once suspected would stay so, for nobody would dial it again.
        """
        now_ms = self._clock.now_ms()
        if not suspected or now_ms < self._last_probe_ms + _PROBE_MS:
            return None
        doubtful = {
            members[name].domain for name in suspected if name in members
        }
        for name, member in members.items():
            if member.domain not in doubtful:
                continue
            if self._mesh.contact(name).is_watched or self.is_heard(name):
                continue
            probed_ms = self._probed_ms.get(name, float("-inf"))
            if now_ms >= probed_ms + _PROBE_AGAIN_MS:
                self._probed_ms[name] = now_ms
                self._last_probe_ms = now_ms
                return name
        return None

    def _is_recent(self, at_ms: float) -> bool:
        since_ms = max(at_ms, self._resumed_ms)
        silence_ms = self._clock.now_ms() - since_ms
        return silence_ms <= self._timing.suspect_after_ms

    def _notice_pause(self) -> None:
        """Forgives silence that lies in a pause of this very process.

        A process that was stopped for ten seconds finds, before it has read
        its sockets, that everybody was silent for ten seconds. Suspecting
        them all would make it the owner of everything for a moment.
        """
        now_ms = self._clock.now_ms()
        last_ms = self._checked_ms
        self._checked_ms = now_ms
        if last_ms is None:
            return
        if now_ms - last_ms > self._timing.suspect_after_ms / 2:
            self._resumed_ms = now_ms

    def _reported(
        self, members: Mapping[str, view.Member]
    ) -> dict[str, list[member_facts.Report]]:
        """Reports that count, by silent member."""
        found: dict[str, list[member_facts.Report]]
        found = collections.defaultdict(list)
        for fact in self._facts.about(all_facts.Topic.SUSPICION):
            name = member_facts.silent_in(fact.subject)
            report = member_facts.report(fact)
            member = members.get(name)
            if report is None or member is None or not report.is_silent:
                continue
            is_near = report.domain in (self._domain, member.domain)
            if is_near and report.incarnation >= self._incarnation(name):
                found[name].append(report)
        return found

    def _is_told(self, name: str, reports: list[member_facts.Report]) -> bool:
        contact = self._mesh.contact(name)
        if contact.is_watched or (contact.is_linked and self.is_heard(name)):
            return False
        return len(reports) >= REPORTS_TO_BELIEVE

    def _report(self, name: str, is_silent: bool, told_by: int) -> None:
        """Gives, renews or takes back this instance's own report.

        All watchers of a dead instance notice within a moment. Each waits a
        random while, and once enough have reported the others need not.
        """
        now_ms = self._clock.now_ms()
        reported = self._reports.get(name)
        if is_silent and reported is not None:
            if now_ms >= reported.at_ms + _RENEW_MS:
                self._publish(name, is_silent=True)
        elif is_silent:
            spread_ms = self._random.uniform(0, _REPORT_SPREAD_MS)
            due_ms = self._due_ms.setdefault(name, now_ms + spread_ms)
            if now_ms >= due_ms and told_by < _ENOUGH_REPORTS:
                self._publish(name, is_silent=True)
        else:
            self._due_ms.pop(name, None)
            if reported is not None:
                self._take_back(name, reported)

    def _take_back(self, name: str, reported: _Reported) -> None:
        """Ends a report; one about an earlier process is void by itself."""
        if self._incarnation(name) <= reported.incarnation:
            self._publish(name, is_silent=False)
        del self._reports[name]

    def _publish(self, name: str, *, is_silent: bool) -> None:
        incarnation = self._incarnation(name)
        self._reports[name] = _Reported(self._clock.now_ms(), incarnation)
        report = member_facts.Report(self._domain, incarnation, is_silent)
        self._facts.publish(
            all_facts.Topic.SUSPICION,
            member_facts.report_subject(name, self._mesh.instance),
            version=int(self._clock.wall_ms()),
            value=member_facts.dump(report),
            ttl_ms=_REPORT_TTL_MS,
        )

    def _incarnation(self, name: str) -> int:
        hello = self._mesh.hello_of(name)
        heard = 0 if hello is None else hello.incarnation
        fact = self._facts.get(all_facts.Topic.MEMBER, name)
        said = None if fact is None else member_facts.presence(fact)
        return heard if said is None else max(heard, said.incarnation)
