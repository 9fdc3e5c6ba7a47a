"""Grants the plain calls of one follower at the leader."""

from __future__ import annotations

from collections.abc import Callable

from jujubewharf import clock as clocks
from jujubewharf.endpoint_load import table
from jujubewharf.forwarding import forwarder
from jujubewharf.forwarding import routes
from jujubewharf.leadership import plain_queues
from jujubewharf.leadership import shared_state
from jujubewharf.peers import messages
from jujubewharf.peers import plain_messages
from jujubewharf.plain_calls import decisions


class PlainPermitServer:
    """Handles the permit messages of one follower.

    Args:
        queues: The leader's queues.
        source: The current configuration.
        state: State that all instances share, for the loads in messages.
        loads: Load that endpoints have reported.
        grants_permits_of: Whether permits are granted for calls of a service.
        clock: Time source.
    """

    def __init__(
        self,
        queues: plain_queues.PlainQueues,
        source: forwarder.ActiveConfiguration,
        state: shared_state.SharedState,
        loads: table.LoadTable,
        grants_permits_of: Callable[[str], bool],
        clock: clocks.Clock,
    ) -> None:
        self._queues = queues
        self._source = source
        self._state = state
        self._loads = loads
        self._grants_permits_of = grants_permits_of
        self._clock = clock
        # Routes by name, and the configuration that they are from.
        self._routes: dict[str, routes.Route] = {}
        self._routes_of: routes.RoutingConfiguration | None = None
        # Numbers in the leader's queues by the follower's numbers.
        self._numbers: dict[int, int] = {}

    async def request(
        self, request: plain_messages.PlainPermitRequest
    ) -> messages.Message | None:
        """Returns the reply; ``None`` refuses the request.

        The follower then chooses by itself.
        """
        route = self._route(request.route)
        if route is None or not self._grants_permits_of(request.service):
            return None
        call = self._waiting_call(request, route)
        self._numbers[request.number] = call.number
        verdict = await self._queues.decide(
            request.service, call, target_ms=route.target_ms
        )
        match verdict:
            case decisions.Granted():
                known = self._loads.get(verdict.endpoint)
                return plain_messages.PlainPermitGranted(
                    verdict.endpoint,
                    verdict.ahead,
                    None if known is None else round(known.age_ms),
                )
            case decisions.Rejected():
                self._numbers.pop(request.number, None)
                return plain_messages.PlainPermitRejected(
                    round(verdict.retry_after_ms),
                    verdict.reason.value,
                    verdict.ahead,
                    self._queues.oldest_load_ms(request.service),
                )
            case None:
                self._numbers.pop(request.number, None)
                return None

    def on_released(self, message: plain_messages.PlainPermitReleased) -> None:
        """Ends a call, whether it waits or was granted."""
        # The report counts the calls that were there before this one ended.
        if message.loads is not None:
            self._state.apply(message.loads)
            for endpoint in message.loads.endpoints:
                self._queues.record_report(endpoint)
        number = self._numbers.pop(message.number, None)
        if number is None:
            return
        try:
            outcome = decisions.Outcome(message.outcome)
        except ValueError:
            # An outcome that this version doesn't know.
            outcome = decisions.Outcome.CANCELLED
        if outcome is decisions.Outcome.CANCELLED:
            self._queues.cancel(number)
        else:
            self._queues.release(number, outcome)

    def close(self) -> None:
        """Keeps granted calls of an ended link until they must have ended.

        Calls that wait are removed by the cancellation of their requests.
        """
        self._queues.orphan(self._numbers.values())
        self._numbers.clear()

    def _waiting_call(
        self,
        request: plain_messages.PlainPermitRequest,
        route: routes.Route,
    ) -> decisions.WaitingCall:
        account = self._source.accounts.by_name.get(request.account or "")
        priority = route.priority
        if account is not None and account.priority is not None:
            priority = account.priority
        now_ms = self._clock.now_ms()
        return decisions.WaitingCall(
            self._queues.next_number(),
            request.domain,
            now_ms - request.waited_ms + route.target_ms,
            now_ms + request.left_ms,
            priority,
            request.account,
            frozenset(request.excluded),
        )

    def _route(self, name: str) -> routes.Route | None:
        current = self._source.current
        if current is not self._routes_of:
            self._routes_of = current
            known = () if current is None else current.routes
            self._routes = {route.name: route for route in known}
        return self._routes.get(name)
