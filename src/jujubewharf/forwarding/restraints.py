"""What endpoints have said in their answers of the work that they want.

An answer can name a rate limit, say that its endpoint leaves, or ask the
instance that it goes to to back off for a while. The first two are terms for
all instances: whoever hears them tells the others, see
``leadership.fleet_limits``. The last concerns this instance alone.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.engines import notices
from jujubewharf.forwarding import beliefs

# What is known of an endpoint that isn't registered is kept for this long. Its
# entry may be missing for an outage of the store and come back as it was.
_KEPT_MS = 600_000.0


@dataclasses.dataclass(slots=True)
class _Restraint:
    """What one endpoint wants.

    Attributes:
        terms: Its terms for all instances.
        since_ms: When its terms changed last.
        limit_heard_ms: When its limit was heard last.
        backoff_until_ms: Until when it wants no request of this instance.
        deferred_until_ms: Until when its limit leaves nothing for this one.
        deferred_for_ms: Length of that time from its beginning on.
    """

    terms: notices.Terms
    since_ms: float = 0.0
    limit_heard_ms: float = 0.0
    backoff_until_ms: float = 0.0
    deferred_until_ms: float = 0.0
    deferred_for_ms: float = 0.0


def _nobody(terms: notices.Terms) -> None:
    """Stands in where nobody is to be told."""


class Restraints:
    """Learns what endpoints want, and tells which are not to be asked now.

    That an endpoint leaves is never taken back: its next start is another
    endpoint, with a name of its own.

    Args:
        clock: Time.

    Attributes:
        on_news: Told what an answer to this instance has changed for all.
        on_leaving: Told that some endpoint has said that it leaves.
        is_registered: Tells which endpoints must not be forgotten.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.on_news: Callable[[notices.Terms], None] = _nobody
        self.on_leaving: Callable[[], None] = lambda: None
        self.is_registered: Callable[[str], bool] = lambda name: True
        self._clock = clock
        self._by_name: dict[str, _Restraint] = {}

    def heard(
        self, endpoint: resources.Endpoint, notice: notices.Notice
    ) -> None:
        """Learns what an answer to this instance says."""
        if endpoint.name not in self._by_name and not notice.restrains:
            return
        known = self._of(endpoint.name)
        terms = notices.Terms(
            endpoint.name,
            self._limit_after(known, notice),
            known.terms.is_leaving or notice.is_leaving,
        )
        now_ms = self._clock.now_ms()
        if notice.rate_limit_per_s is not None:
            known.limit_heard_ms = now_ms
        until_ms = now_ms + notice.backoff_ms
        known.backoff_until_ms = max(known.backoff_until_ms, until_ms)
        is_news = terms != known.terms
        if is_news or notice.backoff_ms > 0.0:
            self._take(known, terms)
            _log(terms, told_by="answer", backoff_ms=notice.backoff_ms)
        if is_news:
            self.on_news(terms)

    def told(self, terms: notices.Terms, *, is_news: bool) -> bool:
        """Learns terms from another instance.

        Args:
            terms: The terms.
            is_news: Whether they have just changed. Of what the other one has
                known for a while the stricter holds: it may have been cut off
                since, and the endpoint's next answer tells.

        Returns:
            Whether they were not known before.
        """
        known = self._of(terms.endpoint)
        if not is_news:
            terms = terms.stricter(known.terms)
        elif known.terms.is_leaving:
            terms = dataclasses.replace(terms, is_leaving=True)
        known.limit_heard_ms = self._clock.now_ms()
        if terms == known.terms:
            return False
        self._take(known, terms)
        _log(terms, told_by="peer")
        return True

    @property
    def terms(self) -> tuple[notices.Terms, ...]:
        """All terms that keep any work away."""
        return tuple(
            known.terms
            for known in self._by_name.values()
            if known.terms.restrains
        )

    @property
    def has_any(self) -> bool:
        """Whether any endpoint wants anything; for most fleets none does."""
        return bool(self._by_name)

    def limited_names(self) -> frozenset[str]:
        """Endpoints that take a bounded number of requests."""
        return frozenset(filter(self.is_limited, self._by_name))

    def waiting_names(self) -> frozenset[str]:
        """Endpoints that are not to be asked now."""
        return frozenset(filter(self.must_wait, self._by_name))

    def is_leaving(self, name: str) -> bool:
        """Whether an endpoint has said that it takes no new work."""
        known = self._by_name.get(name)
        return known is not None and known.terms.is_leaving

    def is_limited(self, name: str) -> bool:
        """Whether an endpoint takes a bounded number of requests."""
        return self.rate_limit_per_s(name) is not None

    def rate_limit_per_s(self, name: str) -> float | None:
        """What an endpoint takes from all instances; ``None`` for any."""
        known = self._by_name.get(name)
        return None if known is None else known.terms.rate_limit_per_s

    def is_backing_off(self, name: str) -> bool:
        """Whether an endpoint wants no request of this instance now."""
        known = self._by_name.get(name)
        return (
            known is not None and known.backoff_until_ms > self._clock.now_ms()
        )

    def backoffs_ms(self) -> dict[str, float]:
        """Time for which endpoints want nothing of this instance, by name."""
        now_ms = self._clock.now_ms()
        return {
            name: known.backoff_until_ms - now_ms
            for name, known in self._by_name.items()
            if known.backoff_until_ms > now_ms
        }

    def defer(self, name: str, wait_ms: float) -> None:
        """Learns that an endpoint's limit leaves nothing for so long."""
        known = self._of(name)
        known.deferred_until_ms = self._clock.now_ms() + wait_ms
        known.deferred_for_ms = wait_ms

    def must_wait(self, name: str) -> bool:
        """Whether an endpoint is not to be asked now."""
        return self._wait_ms(name) > 0.0

    def wait_ms(self, names: Iterable[str]) -> float | None:
        """Time until one of some endpoints may be asked again.

        Returns:
            ``None`` where one may be asked now, or there is none.
        """
        first_ms = min(map(self._wait_ms, names), default=0.0)
        return first_ms if first_ms > 0.0 else None

    def apart_ms(self, names: Iterable[str]) -> float:
        """Time between two requests that limited endpoints take from here.

        Each takes about one in the time for which it is deferred; 0 where none
        is.
        """
        waits = [
            self._by_name[name].deferred_for_ms
            for name in names
            if name in self._by_name
        ]
        per_ms = sum(1.0 / wait_ms for wait_ms in waits if wait_ms > 0.0)
        return 1.0 / per_ms if per_ms else 0.0

    def _wait_ms(self, name: str) -> float:
        known = self._by_name.get(name)
        if known is None:
            return 0.0
        until_ms = max(known.deferred_until_ms, known.backoff_until_ms)
        return until_ms - self._clock.now_ms()

    def _limit_after(
        self, known: _Restraint, notice: notices.Notice
    ) -> float | None:
        """The limit that is believed after an answer.

        An answer to an earlier request may be from before the word that was
        heard last. It would let all instances loose on an endpoint in need, so
        only a later one raises a limit or ends it.
        """
        limit, named = known.terms.rate_limit_per_s, notice.rate_limit_per_s
        if named is not None and (limit is None or named < limit):
            return named
        is_later = notice.asked_ms > known.limit_heard_ms
        if is_later and (named is not None or notice.ends_limit):
            return named
        return limit

    def _of(self, name: str) -> _Restraint:
        known = self._by_name.get(name)
        return known or _Restraint(notices.Terms(name))

    def _take(self, known: _Restraint, terms: notices.Terms) -> None:
        if terms.rate_limit_per_s != known.terms.rate_limit_per_s:
            # How long to wait was reckoned by the former limit.
            known.deferred_until_ms = 0.0
            known.deferred_for_ms = 0.0
        begins_to_leave = terms.is_leaving and not known.terms.is_leaving
        known.terms = terms
        known.since_ms = self._clock.now_ms()
        if terms.endpoint not in self._by_name:
            self._forget_gone()
        self._by_name[terms.endpoint] = known
        if begins_to_leave:
            self.on_leaving()

    def _forget_gone(self) -> None:
        oldest_ms = self._clock.now_ms() - _KEPT_MS
        for name, known in list(self._by_name.items()):
            if known.since_ms < oldest_ms and not self.is_registered(name):
                del self._by_name[name]


def _log(
    terms: notices.Terms, *, told_by: str, backoff_ms: float = 0.0
) -> None:
    beliefs.endpoint_said(
        terms.endpoint,
        rate_limit_per_s=terms.rate_limit_per_s,
        is_leaving=terms.is_leaving,
        backoff_ms=backoff_ms,
        told_by=told_by,
    )
