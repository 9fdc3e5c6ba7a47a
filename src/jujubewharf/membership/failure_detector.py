"""Failure detector based on the local links and on reports of other instances.

An instance monitors only the peers that it has links to. Other members are
suspected when at least two watchers report them. Only reports from the local
failure domain or the reported member's domain count: a third domain may be
partitioned from the member while this instance can reach it.
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

MIN_REPORTS = 2

_SUFFICIENT_REPORTS = 3
_REPORT_TTL_MS = 30_000.0
_REPORT_RENEWAL_MS = 15_000.0
_MAX_REPORT_DELAY_MS = 1_500.0
_PROBE_INTERVAL_MS = 2_000.0
_MEMBER_PROBE_INTERVAL_MS = 10_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class _PublishedReport:
    """A report published by this instance.

    Attributes:
        at_ms: Time of publication, in ms.
        incarnation: Incarnation of the reported process.
    """

    at_ms: float
    incarnation: int


class FailureDetector:
    """Detects members that have gone silent.

    Args:
        mesh: Links to the peers.
        facts: Replicated facts; carry the reports.
        domain: Failure domain of this instance.
        clock: Source of time.
        timing: Heartbeat and timeout intervals of the links.
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
        self._published: dict[str, _PublishedReport] = {}
        self._report_due_ms: dict[str, float] = {}
        self._random = random.Random(mesh.instance)
        self._probed_ms: dict[str, float] = {}
        self._last_probe_ms = 0.0
        self._checked_ms: float | None = None
        self._resumed_ms = float("-inf")

    def find_suspected(
        self, members: Mapping[str, view.Member]
    ) -> frozenset[str]:
        """Returns the names of the suspected members.

        Checks only peers known to the links and members with reports, whose
        number does not grow with the fleet.
        """
        self._detect_pause()
        reports_by_name = self._valid_reports(members)
        suspected = set()
        for name in self._mesh.known_peers():
            if name not in members:
                continue
            is_silent = self.is_silent(name)
            self._update_report(
                name, is_silent, len(reports_by_name.get(name, ()))
            )
            if is_silent:
                suspected.add(name)
        for name, reports in reports_by_name.items():
            if self._is_suspected_by_reports(name, reports):
                suspected.add(name)
        return frozenset(suspected)

    def update_members(self, members: Mapping[str, view.Member]) -> None:
        """Records when members became known; drops state of removed ones."""
        now_ms = self._clock.now_ms()
        for name in members:
            self._known_since_ms.setdefault(name, now_ms)
        state: dict[str, Any]
        for state in (
            self._known_since_ms,
            self._published,
            self._report_due_ms,
            self._probed_ms,
        ):
            for name in [name for name in state if name not in members]:
                del state[name]

    def is_heard(self, name: str) -> bool:
        """Whether a frame came from the peer within the suspicion timeout."""
        heard_ms = self._mesh.contact(name).heard_ms
        return heard_ms is not None and self._is_recent(heard_ms)

    def is_silent(self, name: str) -> bool:
        """Whether the links of this instance show that the peer is silent."""
        contact = self._mesh.contact(name)
        if contact.failed_ms is not None:
            # Ignore a failed dial if a frame has arrived from the peer since,
            # because no later dial would clear it.
            heard_ms = contact.heard_ms
            if heard_ms is None or heard_ms <= contact.failed_ms:
                return True
        if not contact.is_watched:
            return False
        if not contact.is_peer_receiving and not self._is_recent(
            self._resumed_ms
        ):
            # The peer receives no frames from this instance. Right after a
            # pause of this process that state is outdated and ignored.
            return True
        since_ms = contact.heard_ms
        if since_ms is None:
            since_ms = self._known_since_ms.get(name, self._clock.now_ms())
        return not self._is_recent(since_ms)

    def on_hello(self, domain: str, members: Mapping[str, view.Member]) -> None:
        """Clears failed dials to the domain that a hello came from.

        After a partition heals, members that probes found unreachable would
        otherwise stay suspected until each one is probed again.
        """
        for name, member in members.items():
            contact = self._mesh.contact(name)
            if member.domain == domain and not contact.is_watched:
                self._mesh.clear_failure(name)

    def next_probe(
        self, members: Mapping[str, view.Member], suspected: frozenset[str]
    ) -> str | None:
        """Returns the next member to probe by dialling it, if any.

        Candidates are the unwatched members in the failure domain of a
        suspected member. Without probes, each member of an unreachable domain
        would be detected by a failed request of its own, and a suspected one
        would stay suspected because nothing dials it again.
        """
        now_ms = self._clock.now_ms()
        if not suspected or now_ms < self._last_probe_ms + _PROBE_INTERVAL_MS:
            return None
        suspect_domains = {
            members[name].domain for name in suspected if name in members
        }
        for name, member in members.items():
            if member.domain not in suspect_domains:
                continue
            if self._mesh.contact(name).is_watched or self.is_heard(name):
                continue
            probed_ms = self._probed_ms.get(name, float("-inf"))
            if now_ms >= probed_ms + _MEMBER_PROBE_INTERVAL_MS:
                self._probed_ms[name] = now_ms
                self._last_probe_ms = now_ms
                return name
        return None

    def _is_recent(self, at_ms: float) -> bool:
        since_ms = max(at_ms, self._resumed_ms)
        silence_ms = self._clock.now_ms() - since_ms
        return silence_ms <= self._timing.suspect_after_ms

    def _detect_pause(self) -> None:
        """Detects a pause of this process, whose silence must not count.

        After a pause, all peers seem silent until the sockets are read.
        Suspecting them all would briefly make this instance the owner of
        everything.
        """
        now_ms = self._clock.now_ms()
        last_ms = self._checked_ms
        self._checked_ms = now_ms
        if last_ms is None:
            return
        if now_ms - last_ms > self._timing.suspect_after_ms / 2:
            self._resumed_ms = now_ms

    def _valid_reports(
        self, members: Mapping[str, view.Member]
    ) -> dict[str, list[member_facts.Report]]:
        """Returns the valid reports by silent member."""
        reports: dict[str, list[member_facts.Report]]
        reports = collections.defaultdict(list)
        for fact in self._facts.by_topic(all_facts.Topic.SUSPICION):
            name = member_facts.silent_member(fact.subject)
            report = member_facts.decode_report(fact)
            member = members.get(name)
            if report is None or member is None or not report.is_silent:
                continue
            is_near = report.domain in (self._domain, member.domain)
            if is_near and report.incarnation >= self._incarnation(name):
                reports[name].append(report)
        return reports

    def _is_suspected_by_reports(
        self, name: str, reports: list[member_facts.Report]
    ) -> bool:
        contact = self._mesh.contact(name)
        if contact.is_watched or (contact.is_linked and self.is_heard(name)):
            return False
        return len(reports) >= MIN_REPORTS

    def _update_report(
        self, name: str, is_silent: bool, report_count: int
    ) -> None:
        """Publishes, renews or withdraws this instance's report on a member.

        All watchers detect a failed instance at about the same time. Each
        waits for a random delay and reports only if too few others have.
        """
        now_ms = self._clock.now_ms()
        published = self._published.get(name)
        if is_silent and published is not None:
            if now_ms >= published.at_ms + _REPORT_RENEWAL_MS:
                self._publish_report(name, is_silent=True)
        elif is_silent:
            delay_ms = self._random.uniform(0, _MAX_REPORT_DELAY_MS)
            due_ms = self._report_due_ms.setdefault(name, now_ms + delay_ms)
            if now_ms >= due_ms and report_count < _SUFFICIENT_REPORTS:
                self._publish_report(name, is_silent=True)
        else:
            self._report_due_ms.pop(name, None)
            if published is not None:
                self._withdraw(name, published)

    def _withdraw(self, name: str, published: _PublishedReport) -> None:
        """Withdraws a report unless it is about an earlier process."""
        if self._incarnation(name) <= published.incarnation:
            self._publish_report(name, is_silent=False)
        del self._published[name]

    def _publish_report(self, name: str, *, is_silent: bool) -> None:
        incarnation = self._incarnation(name)
        self._published[name] = _PublishedReport(
            self._clock.now_ms(), incarnation
        )
        report = member_facts.Report(self._domain, incarnation, is_silent)
        self._facts.publish(
            all_facts.Topic.SUSPICION,
            member_facts.report_subject(name, self._mesh.instance),
            version=int(self._clock.wall_ms()),
            value=member_facts.encode(report),
            ttl_ms=_REPORT_TTL_MS,
        )

    def _incarnation(self, name: str) -> int:
        hello = self._mesh.hello_of(name)
        hello_incarnation = 0 if hello is None else hello.incarnation
        fact = self._facts.get(all_facts.Topic.MEMBER, name)
        announced = None if fact is None else member_facts.decode_presence(fact)
        return (
            hello_incarnation
            if announced is None
            else max(hello_incarnation, announced.incarnation)
        )
