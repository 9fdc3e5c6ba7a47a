"""What one instance sees of endpoints and requests, and all must know."""

from __future__ import annotations

import dataclasses

from jujubewharf.forwarding import crashes
from jujubewharf.forwarding import restraints
from jujubewharf.peers import crash_messages
from jujubewharf.peers import limit_messages
from jujubewharf.peers import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Knowledge:
    """What an instance knows that it shares with its leader or followers.

    Attributes:
        restraints: What endpoints want.
        history: Which engines crashed under which requests.
    """

    restraints: restraints.Restraints
    history: crashes.CrashHistory

    def greeting(self) -> tuple[messages.Message, ...]:
        """All of it, which each side tells the other as a link begins."""
        terms = limit_messages.TermsKnown(self.restraints.terms, is_news=False)
        reports = self.history.reports()
        if not reports:
            return (terms,)
        return (terms, crash_messages.CrashesKnown(reports))

    def told_by_leader(self, message: messages.Message) -> None:
        """Learns what the leader tells."""
        match message:
            case limit_messages.TermsKnown():
                for terms in message.terms:
                    self.restraints.told(terms, is_news=message.is_news)
            case crash_messages.CrashesKnown():
                for report in message.reports:
                    self.history.learn(report)
