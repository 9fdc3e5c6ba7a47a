"""One request's life: its route, its service, its answer, its end."""

from __future__ import annotations

from collections.abc import AsyncIterator
import contextlib
import random

from jujubewharf import clock as clocks
from jujubewharf import errors
from jujubewharf.engines import client
from jujubewharf.forwarding import budget as budgets
from jujubewharf.forwarding import calls
from jujubewharf.forwarding import decisions
from jujubewharf.forwarding import plain
from jujubewharf.forwarding import routes
from jujubewharf.forwarding import runs
from jujubewharf.forwarding import stream

_NOT_READY_AFTER_MS = 500.0


class RouteSource:
    """The configuration in force, and its table of routes.

    Attributes:
        current: The configuration; ``None`` before the first.
    """

    def __init__(self) -> None:
        self.current: routes.RoutingConfiguration | None = None
        self._table = routes.RouteTable(())

    def take(self, configuration: routes.RoutingConfiguration) -> bool:
        """Puts a configuration in force unless it is older.

        The store may show an older state after a newer one. A version that
        was used must not be left again.

        Returns:
            Whether it is in force now and wasn't before.
        """
        if self.current is not None:
            if configuration.version <= self.current.version:
                return False
        self.current = configuration
        self._table = routes.RouteTable(configuration.routes)
        return True

    def match(self, host: str, path: str) -> routes.Route:
        """The route of a request.

        Raises:
            WharfError: There is none, or nothing is known yet.
        """
        if self.current is None:
            raise errors.WharfError(
                errors.ErrorKind.NOT_READY, retry_after_ms=_NOT_READY_AFTER_MS
            )
        route = self._table.match(host, path)
        if route is None:
            raise errors.WharfError(errors.ErrorKind.UNKNOWN_SERVICE)
        return route


class Forwarder:
    """Passes requests on.

    Args:
        source: The configuration in force.
        plain_forwarder: Runs plain requests.
        stream_forwarder: Runs streams on engines.
        budget: Bounds retries over the fleet.
        clock: Time.
        rng: Splits routes between their services.
        domain: Failure domain of this instance.
    """

    def __init__(
        self,
        source: RouteSource,
        plain_forwarder: plain.PlainForwarder,
        stream_forwarder: stream.StreamForwarder,
        budget: budgets.FleetBudget,
        clock: clocks.Clock,
        rng: random.Random,
        *,
        domain: str,
    ) -> None:
        self._domain = domain
        self._source = source
        self._plain = plain_forwarder
        self._stream = stream_forwarder
        self._budget = budget
        self._clock = clock
        self._rng = rng

    @contextlib.asynccontextmanager
    async def run(self, call: calls.Call) -> AsyncIterator[calls.Reply]:
        """Answers a request; the reply's body is read inside the block.

        Raises:
            WharfError: There is no answer, or it broke off in the block.
        """
        try:
            run = self._new_run(call)
        except errors.WharfError as error:
            decisions.refused(call.request_id, error, route="", held_ms=0.0)
            raise
        outcome = decisions.CANCELLED
        try:
            async with self._bounded(run), contextlib.AsyncExitStack() as stack:
                reply = await self._begin(stack, run)
                held_ms = self._clock.now_ms() - call.arrived_ms
                decisions.answer_begun(
                    run, status=reply.status, took_ms=held_ms
                )
                yield reply
            outcome = decisions.FINISHED
        except errors.WharfError as error:
            held_ms = self._clock.now_ms() - call.arrived_ms
            outcome = error.kind.value
            decisions.refused(
                call.request_id, error, route=run.route.name, held_ms=held_ms
            )
            raise
        finally:
            took_ms = self._clock.now_ms() - call.arrived_ms
            decisions.ended(run, outcome, took_ms=took_ms)

    def _new_run(self, call: calls.Call) -> runs.Run:
        route = self._source.match(call.host, call.path)
        service = self._pick(route)
        self._budget.accepted(service)
        within_ms = route.timeout_ms
        if call.patience_ms is not None:
            within_ms = min(within_ms, call.patience_ms)
        deadline_at_ms = call.arrived_ms + within_ms
        return runs.Run(
            call, route, service, deadline_at_ms, domain=self._domain
        )

    def _pick(self, route: routes.Route) -> str:
        """One of the route's services, by their weights."""
        names = [share.service for share in route.shares]
        if len(names) == 1:
            return names[0]
        weights = [share.weight for share in route.shares]
        return self._rng.choices(names, weights)[0]

    @contextlib.asynccontextmanager
    async def _bounded(self, run: runs.Run) -> AsyncIterator[None]:
        """Ends the block at the deadline, and names its failures."""
        try:
            async with self._clock.timeout_ms(run.left_ms(self._clock)):
                yield
        except client.EngineError as error:
            raise run.failure() from error
        except TimeoutError as error:
            raise run.too_late() from error

    async def _begin(
        self, stack: contextlib.AsyncExitStack, run: runs.Run
    ) -> calls.Reply:
        current = self._source.current
        assert current is not None
        service = current.services.get(run.service)
        if run.route.is_stream and service is not None and service.engine:
            # Kept with the request: a later configuration may drop the service
            # while it runs.
            run.traits = service.engine
            return await self._stream.begin(stack, run)
        return await self._plain.begin(stack, run)
