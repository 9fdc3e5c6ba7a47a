"""How long a stream may be taken up again, for all who need to know.

Where a stream began is remembered for as long, and a service counts as one that
has had one version only if it had no other one for as long. With two different
answers a stream could go on at another version once it is forgotten.
"""

from __future__ import annotations

from collections.abc import Iterable

from jujubewharf.forwarding import routes

# Callers take a stream up within their own time, which the route's timeout
# doesn't bound; at least this, and a multiple of that timeout.
_MIN_KEEP_MS = 60_000.0
_KEEP_TIMEOUTS = 2.0


class StreamLifetimes:
    """Times in which streams may be taken up, by service.

    A configuration may shorten a timeout while streams run that began under the
    longer one, so the longest counts that this instance has known.
    """

    def __init__(self) -> None:
        self._longest_ms: dict[str, float] = {}
        self._look_back_ms = _MIN_KEEP_MS

    @property
    def longest_look_back_ms(self) -> float:
        """Age of the oldest stream of any service that may be taken up."""
        return self._look_back_ms

    def learn(self, known: Iterable[routes.Route]) -> None:
        """Notes the timeouts of a configuration that comes into force."""
        for route in known:
            if route.is_stream:
                look_back_ms = self.look_back_ms(route)
                self._look_back_ms = max(self._look_back_ms, look_back_ms)

    def keep_ms(self, route: routes.Route) -> float:
        """Returns for how long a stream may be taken up from now on, in ms."""
        keep_ms = max(_MIN_KEEP_MS, _KEEP_TIMEOUTS * route.timeout_ms)
        for share in route.shares:
            known_ms = self._longest_ms.get(share.service, 0.0)
            keep_ms = max(keep_ms, known_ms)
        for share in route.shares:
            self._longest_ms[share.service] = keep_ms
        return keep_ms

    def look_back_ms(self, route: routes.Route) -> float:
        """Returns the age of the oldest stream that may be taken up, in ms.

        Engines whose registration has gone still begin the streams of requests
        that they have got, up to the route's timeout.
        """
        return self.keep_ms(route) + route.timeout_ms
