"""Asks the leader for permits of plain calls.

Handles a leader that is killed, frozen or cut off while hundreds of calls
wait: each call loses at most a quarter of its target, and all that wait share
one check whether the leader is there.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import itertools

from jujubewharf import clock as clocks
from jujubewharf.endpoint_load import table
from jujubewharf.forwarding import runs
from jujubewharf.leadership import leader_link
from jujubewharf.peers import leader_messages
from jujubewharf.peers import link as links
from jujubewharf.peers import load_messages
from jujubewharf.peers import messages
from jujubewharf.peers import network
from jujubewharf.peers import plain_messages
from jujubewharf.plain_calls import decisions

# Share of a call's target after which it is checked whether the leader is
# there, and for which an answer to the check is waited for.
_CHECK_SHARE = 1 / 8
# Time for which a leader that has refused a request isn't asked for calls of
# that route again. It is of an older build, or its configuration is older than
# this instance's.
_REFUSED_MS = 1_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The leader's answer to one request.

    Attributes:
        number: Number of the request on the link.
        link: The link.
        message: Granted or rejected.
    """

    number: int
    link: links.Link
    message: messages.Message


class PlainPermitClient:
    """The follower's side of permits.

    Args:
        leader: The link to the leader.
        loads: Load that endpoints have reported.
        clock: Time source.
    """

    def __init__(
        self,
        leader: leader_link.LeaderLink,
        loads: table.LoadTable,
        clock: clocks.Clock,
    ) -> None:
        self._leader = leader
        self._loads = loads
        self._clock = clock
        self._numbers = itertools.count(1)
        # Link on which the leader was silent, and since when. It isn't asked
        # until it is heard later than that.
        self._silent_link: links.Link | None = None
        self._silent_since_ms = 0.0
        # Until when the leader isn't asked for calls of a route, and the link
        # on which it refused them.
        self._refused_until_ms: dict[str, float] = {}
        self._refusing_link: links.Link | None = None
        # Checks in progress. A new link begins without that of the last one.
        self._checks: dict[links.Link, asyncio.Future[bool]] = {}

    def is_usable(self, route: str) -> bool:
        """Returns whether the leader can be asked for calls of a route now."""
        link = self._leader.link
        if link is None or link.is_closed:
            return False
        if link is self._silent_link:
            if link.last_heard_ms <= self._silent_since_ms:
                return False
            self._silent_link = None
        if link is not self._refusing_link:
            return True
        return self._clock.now_ms() >= self._refused_until_ms.get(route, 0.0)

    async def ask(
        self, run: runs.Run, *, excluded: frozenset[str], left_ms: float
    ) -> Answer | None:
        """Returns the leader's answer; ``None`` if there is none.

        A request without an answer is withdrawn.
        """
        link = self._leader.link
        if link is None:
            return None
        number = next(self._numbers)
        message: messages.Message | None = None
        try:
            message = await self._await_reply(
                link, run, self._request(number, run, excluded, left_ms)
            )
        except network.PeerError as error:
            if error.fault is network.PeerFault.REFUSED:
                self._on_refused(link, run.route.name)
        finally:
            if message is None:
                outcome = decisions.Outcome.CANCELLED
                self._tell_released(link, number, outcome)
        return None if message is None else Answer(number, link, message)

    def _on_refused(self, link: links.Link, route: str) -> None:
        if link is not self._refusing_link:
            self._refusing_link = link
            self._refused_until_ms.clear()
        self._refused_until_ms[route] = self._clock.now_ms() + _REFUSED_MS

    def release(
        self,
        answer: Answer,
        endpoint: str,
        outcome: decisions.Outcome,
        took_ms: float,
    ) -> None:
        """Ends a granted call, with the endpoint's newest report."""
        known = self._loads.get(endpoint)
        loads: load_messages.LoadDigest | None = None
        if known is not None and known.age_ms <= took_ms:
            loads = load_messages.LoadDigest.from_loads(
                [load_messages.EndpointLoad.from_known(endpoint, known)]
            )
        self._tell_released(
            answer.link, answer.number, outcome, took_ms=took_ms, loads=loads
        )

    def _tell_released(
        self,
        link: links.Link,
        number: int,
        outcome: decisions.Outcome,
        *,
        took_ms: float = 0.0,
        loads: load_messages.LoadDigest | None = None,
    ) -> None:
        link.tell(
            plain_messages.PlainPermitReleased(
                number, outcome.value, round(took_ms), loads
            )
        )

    def _request(
        self,
        number: int,
        run: runs.Run,
        excluded: frozenset[str],
        left_ms: float,
    ) -> plain_messages.PlainPermitRequest:
        waited_ms = self._clock.now_ms() - run.call.arrived_ms
        return plain_messages.PlainPermitRequest(
            number,
            run.call.request_id,
            run.route.name,
            run.service,
            run.call.account,
            run.domain,
            round(waited_ms),
            max(1, int(left_ms)),
            tuple(sorted(excluded)),
        )

    async def _await_reply(
        self,
        link: links.Link,
        run: runs.Run,
        request: plain_messages.PlainPermitRequest,
    ) -> messages.Message | None:
        """Waits for the reply, and checks a silent leader.

        Returns:
            ``None`` if the leader doesn't respond.

        Raises:
            PeerError: The link has ended, or the leader refuses the request.
        """
        asked_ms = self._clock.now_ms()
        step_ms = max(1.0, run.route.target_ms * _CHECK_SHARE)
        reply = asyncio.ensure_future(
            link.ask(request, timeout_ms=float(request.left_ms))
        )
        try:
            while True:
                heard_ms = max(asked_ms, link.last_heard_ms)
                silent_ms = self._clock.now_ms() - heard_ms
                if silent_ms >= step_ms:
                    if not await self._is_there(link, step_ms):
                        return reply.result() if reply.done() else None
                    asked_ms = self._clock.now_ms()
                    silent_ms = 0.0
                timeout_s = (step_ms - silent_ms) / clocks.MS_PER_S
                done, _ = await asyncio.wait([reply], timeout=timeout_s)
                if done:
                    return reply.result()
        finally:
            reply.cancel()
            # Retrieves its exception, if it failed along with the link.
            await asyncio.gather(reply, return_exceptions=True)

    async def _is_there(self, link: links.Link, timeout_ms: float) -> bool:
        """Returns whether the leader responds, with one check for all.

        Calls with a short target don't wait for the end of a check that a call
        with a long one has begun.
        """
        since_ms = link.last_heard_ms
        check = self._checks.get(link)
        if check is None:
            check = asyncio.ensure_future(self._check_leader(link, timeout_ms))
            self._checks[link] = check
        timeout_s = timeout_ms / clocks.MS_PER_S
        done, _ = await asyncio.wait([check], timeout=timeout_s)
        if (done and check.result()) or link.last_heard_ms > since_ms:
            return True
        self._silent_link = link
        self._silent_since_ms = since_ms
        return False

    async def _check_leader(self, link: links.Link, timeout_ms: float) -> bool:
        try:
            with contextlib.suppress(network.PeerError):
                await link.ask(
                    leader_messages.LivenessRequest(), timeout_ms=timeout_ms
                )
                return True
            return False
        finally:
            del self._checks[link]
