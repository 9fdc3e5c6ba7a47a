"""Rate limits, backoffs and drain notices that endpoints send in their answers.

Rate limits and drain notices apply to all instances; the instance that receives
one forwards it to the others, see ``leadership.fleet_limits``. A backoff
applies only to the instance that receives it.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.engines import notices
from jujubewharf.forwarding import state_log

# Retention for endpoints that are not registered. Their entry may be missing
# because of an outage of the store and return later.
_RETENTION_MS = 600_000.0
# Nothing ends a backoff before its time, so one that is out of all proportion
# would put an endpoint out of use for as long as this instance runs.
_MAX_BACKOFF_MS = 600_000.0


@dataclasses.dataclass(slots=True)
class _EndpointState:
    """Rate limit, drain notice and backoff of one endpoint.

    Attributes:
        terms: Rate limit and drain notice, valid for all instances.
        changed_ms: Time of the last change of the terms.
        limit_received_ms: Time at which the rate limit was last received.
        backoff_until_ms: End of the backoff of this instance.
        deferred_until_ms: Time until which the rate limit leaves no permits for
            this instance.
        deferred_for_ms: Total length of that deferral.
    """

    terms: notices.Terms
    changed_ms: float = 0.0
    limit_received_ms: float = 0.0
    backoff_until_ms: float = 0.0
    deferred_until_ms: float = 0.0
    deferred_for_ms: float = 0.0


def _ignore(terms: notices.Terms) -> None:
    """Default callback that does nothing."""


class Backpressure:
    """Stores what endpoints have asked for and which must not be called.

    A drain notice is never withdrawn: the next start of the endpoint is a
    separate endpoint with its own name.

    Args:
        clock: Time source.

    Attributes:
        on_terms_changed: Called with the new terms if an answer to this
            instance has changed them.
        on_drain_notice: Called when an endpoint starts to drain.
        is_registered: Returns whether an endpoint is registered; only others
            are evicted.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.on_terms_changed: Callable[[notices.Terms], None] = _ignore
        self.on_drain_notice: Callable[[], None] = lambda: None
        self.is_registered: Callable[[str], bool] = lambda name: True
        self._clock = clock
        self._by_name: dict[str, _EndpointState] = {}

    def apply_notice(
        self, endpoint: resources.Endpoint, notice: notices.Notice
    ) -> None:
        """Applies a notice from an answer to this instance."""
        if endpoint.name not in self._by_name and not notice.is_restrictive:
            return
        state = self._get(endpoint.name)
        terms = notices.Terms(
            endpoint.name,
            self._resolve_limit(state, notice),
            state.terms.is_leaving or notice.is_leaving,
        )
        now_ms = self._clock.now_ms()
        if notice.rate_limit_per_s is not None:
            state.limit_received_ms = now_ms
        until_ms = now_ms + min(notice.backoff_ms, _MAX_BACKOFF_MS)
        state.backoff_until_ms = max(state.backoff_until_ms, until_ms)
        is_changed = terms != state.terms
        if is_changed or notice.backoff_ms > 0.0:
            self._set_terms(state, terms)
            _log(terms, told_by="answer", backoff_ms=notice.backoff_ms)
        if is_changed:
            self.on_terms_changed(terms)

    def apply_terms(self, terms: notices.Terms, *, is_news: bool) -> bool:
        """Applies terms that another instance has sent.

        Args:
            terms: The terms.
            is_news: Whether the terms have just changed. Otherwise the stricter
                of both terms applies, because the sender's may be outdated; the
                next answer of the endpoint corrects them.

        Returns:
            Whether the terms have changed.
        """
        state = self._get(terms.endpoint)
        if not is_news:
            terms = terms.merge_stricter(state.terms)
        elif state.terms.is_leaving:
            terms = dataclasses.replace(terms, is_leaving=True)
        state.limit_received_ms = self._clock.now_ms()
        if terms == state.terms:
            return False
        self._set_terms(state, terms)
        _log(terms, told_by="peer")
        return True

    def mark_leaving(self, name: str) -> None:
        """Records that an endpoint leaves, as its entry said before a restore.

        The restored store may show the entry from before.
        """
        state = self._get(name)
        if state.terms.is_leaving:
            return
        terms = dataclasses.replace(state.terms, is_leaving=True)
        self._set_terms(state, terms)
        _log(terms, told_by="entry")
        self.on_terms_changed(terms)

    @property
    def terms(self) -> tuple[notices.Terms, ...]:
        """Terms of all endpoints that limit their requests."""
        return tuple(
            state.terms
            for state in self._by_name.values()
            if state.terms.is_restrictive
        )

    @property
    def has_any(self) -> bool:
        """Whether any endpoint limits its requests."""
        return bool(self._by_name)

    def limited_names(self) -> frozenset[str]:
        """Returns the endpoints that have a rate limit."""
        return frozenset(filter(self.is_limited, self._by_name))

    def deferred_names(self) -> frozenset[str]:
        """Returns the endpoints that must not be called now."""
        return frozenset(filter(self.is_deferred, self._by_name))

    def is_leaving(self, name: str) -> bool:
        """Returns whether an endpoint has sent a drain notice."""
        state = self._by_name.get(name)
        return state is not None and state.terms.is_leaving

    def is_limited(self, name: str) -> bool:
        """Returns whether an endpoint has a rate limit."""
        return self.rate_limit_per_s(name) is not None

    def rate_limit_per_s(self, name: str) -> float | None:
        """Returns an endpoint's rate limit for all instances, if it has one."""
        state = self._by_name.get(name)
        return None if state is None else state.terms.rate_limit_per_s

    def is_backing_off(self, name: str) -> bool:
        """Returns whether this instance must back off from an endpoint."""
        state = self._by_name.get(name)
        return (
            state is not None and state.backoff_until_ms > self._clock.now_ms()
        )

    def backoffs_ms(self) -> dict[str, float]:
        """Returns the remaining backoff times of this instance by endpoint."""
        now_ms = self._clock.now_ms()
        return {
            name: state.backoff_until_ms - now_ms
            for name, state in self._by_name.items()
            if state.backoff_until_ms > now_ms
        }

    def defer(self, name: str, wait_ms: float) -> None:
        """Defers calls to an endpoint whose rate limit leaves no permits."""
        state = self._get(name)
        state.deferred_until_ms = self._clock.now_ms() + wait_ms
        state.deferred_for_ms = wait_ms

    def is_deferred(self, name: str) -> bool:
        """Returns whether an endpoint must not be called now."""
        return self._wait_ms(name) > 0.0

    def wait_ms(self, names: Iterable[str]) -> float | None:
        """Returns the time until the first of some endpoints may be called.

        Returns:
            ``None`` if one may be called now, or if no endpoints are given.
        """
        first_ms = min(map(self._wait_ms, names), default=0.0)
        return first_ms if first_ms > 0.0 else None

    def available_in_ms(
        self,
        engines: Iterable[resources.Endpoint],
        backoff_until_ms: Mapping[str, float],
    ) -> float | None:
        """Returns the time until a decode engine may be called.

        Covers rate limits and backoffs.

        Args:
            engines: Engines to choose from.
            backoff_until_ms: Ends of further backoffs, by engine.

        Returns:
            The time in milliseconds; ``None`` if one may be called now.
        """
        if not backoff_until_ms and not self.has_any:
            return None
        now_ms = self._clock.now_ms()
        waits = [
            max(
                self.wait_ms([engine.name]) or 0.0,
                backoff_until_ms.get(engine.name, now_ms) - now_ms,
            )
            for engine in engines
            if engine.can_decode
        ]
        return min(waits, default=0.0) or None

    def request_interval_ms(self, names: Iterable[str]) -> float:
        """Returns the mean interval of requests to endpoints with rate limits.

        Each endpoint accepts about one request per deferral; 0 if none is
        deferred.
        """
        waits = [
            self._by_name[name].deferred_for_ms
            for name in names
            if name in self._by_name
        ]
        per_ms = sum(1.0 / wait_ms for wait_ms in waits if wait_ms > 0.0)
        return 1.0 / per_ms if per_ms else 0.0

    def _wait_ms(self, name: str) -> float:
        state = self._by_name.get(name)
        if state is None:
            return 0.0
        until_ms = max(state.deferred_until_ms, state.backoff_until_ms)
        return until_ms - self._clock.now_ms()

    def _resolve_limit(
        self, state: _EndpointState, notice: notices.Notice
    ) -> float | None:
        """Returns the rate limit that applies after a notice.

        Answers can arrive out of order. An outdated one must not raise or end
        the limit of an overloaded endpoint, so only an answer to a later
        request does.
        """
        limit, new_limit = state.terms.rate_limit_per_s, notice.rate_limit_per_s
        if new_limit is not None and (limit is None or new_limit < limit):
            return new_limit
        is_later = notice.requested_ms > state.limit_received_ms
        if is_later and (new_limit is not None or notice.ends_limit):
            return new_limit
        return limit

    def _get(self, name: str) -> _EndpointState:
        state = self._by_name.get(name)
        return state or _EndpointState(notices.Terms(name))

    def _set_terms(self, state: _EndpointState, terms: notices.Terms) -> None:
        if terms.rate_limit_per_s != state.terms.rate_limit_per_s:
            # The deferral was computed from the former limit.
            state.deferred_until_ms = 0.0
            state.deferred_for_ms = 0.0
        begins_to_leave = terms.is_leaving and not state.terms.is_leaving
        state.terms = terms
        state.changed_ms = self._clock.now_ms()
        if terms.endpoint not in self._by_name:
            self._remove_unregistered()
        self._by_name[terms.endpoint] = state
        if begins_to_leave:
            self.on_drain_notice()

    def _remove_unregistered(self) -> None:
        oldest_ms = self._clock.now_ms() - _RETENTION_MS
        for name, state in list(self._by_name.items()):
            if state.changed_ms < oldest_ms and not self.is_registered(name):
                del self._by_name[name]


def _log(
    terms: notices.Terms, *, told_by: str, backoff_ms: float = 0.0
) -> None:
    state_log.log_endpoint_notice(
        terms.endpoint,
        rate_limit_per_s=terms.rate_limit_per_s,
        is_leaving=terms.is_leaving,
        backoff_ms=backoff_ms,
        told_by=told_by,
    )
