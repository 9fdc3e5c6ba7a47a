"""Handles one request: routing, authentication, forwarding, deadline."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import dataclasses
import random

from jujubewharf import bearer
from jujubewharf import clock as clocks
from jujubewharf import errors
from jujubewharf.engines import client
from jujubewharf.forwarding import accounts
from jujubewharf.forwarding import budget as budgets
from jujubewharf.forwarding import calls
from jujubewharf.forwarding import crashes
from jujubewharf.forwarding import plain
from jujubewharf.forwarding import quarantine as quarantines
from jujubewharf.forwarding import quotas as all_quotas
from jujubewharf.forwarding import request_log
from jujubewharf.forwarding import routes
from jujubewharf.forwarding import runs
from jujubewharf.forwarding import stream
from jujubewharf.stream_versions import resumptions
from jujubewharf.telemetry import containment

_NOT_READY_RETRY_AFTER_MS = 500.0


class ActiveConfiguration:
    """The configuration in force, with its route and account tables.

    Attributes:
        current: The configuration; ``None`` before the first one.
        accounts: Client accounts of the configuration.
        on_applied: Called after a configuration was put in force, with its
            position in the store and who told it: ``store``, ``leader`` or
            ``follower``.
    """

    def __init__(self) -> None:
        self.current: routes.RoutingConfiguration | None = None
        self.accounts = accounts.AccountTable(None)
        self.on_applied: Callable[
            [routes.RoutingConfiguration, int, str], None
        ] = lambda configuration, position, told_by: None
        self._table = routes.RouteTable(())

    @property
    def version(self) -> int | None:
        """Version in force; ``None`` before the first configuration."""
        return None if self.current is None else self.current.version

    def apply(
        self,
        configuration: routes.RoutingConfiguration,
        *,
        position: int = 0,
        told_by: str = "store",
    ) -> bool:
        """Puts a configuration in force if it is newer than the current one.

        The store can return an older state after a newer one, and a version
        that was in force must not be rolled back.

        Args:
            configuration: The configuration.
            position: Position of its record in the store.
            told_by: Who told it.

        Returns:
            Whether the configuration was put in force.
        """
        if self.current is not None:
            if configuration.version <= self.current.version:
                return False
        try:
            account_table = accounts.AccountTable(configuration.accounts)
            route_table = routes.RouteTable(configuration.routes)
        except Exception as error:
            # The former one stays in force.
            version = configuration.version
            containment.report_failure("configuration", error, version=version)
            return False
        self.current = configuration
        self.accounts = account_table
        self._table = route_table
        with containment.contained("configuration_listener"):
            self.on_applied(configuration, position, told_by)
        return True

    def match(self, host: str, path: str) -> routes.Route:
        """Returns the route of a request.

        Raises:
            WharfError: ``UNKNOWN_SERVICE`` if no route matches, ``NOT_READY``
                if there is no configuration yet.
        """
        if self.current is None:
            raise errors.WharfError(
                errors.ErrorKind.NOT_READY,
                retry_after_ms=_NOT_READY_RETRY_AFTER_MS,
            )
        route = self._table.match(host, path)
        if route is None:
            raise errors.WharfError(errors.ErrorKind.UNKNOWN_SERVICE)
        return route

    def account_of(
        self, route: routes.Route, headers: calls.Headers
    ) -> accounts.Account | None:
        """Returns the account whose key a request contains.

        Returns:
            The account; ``None`` if no key is required and no valid one is
            given.

        Raises:
            WharfError: ``UNAUTHENTICATED``; its detail contains the version of
                the configuration.
        """
        if self.accounts.is_open:
            return None
        assert self.current is not None
        values = [v for name, v in headers if _is_authorization(name)]
        try:
            return self.accounts.identify(values)
        except errors.WharfError as error:
            if route.is_public:
                return None
            detail = f"{error.detail}, configuration {self.current.version}"
            raise errors.WharfError(error.kind, detail) from None


class Forwarder:
    """Forwards requests.

    Args:
        source: Configuration in force.
        plain_forwarder: Forwards plain requests.
        stream_forwarder: Forwards streams from engines.
        resumed: Binds requests that resume a stream to its version.
        budget: Retry budget of the fleet.
        quotas: Enforces account quotas.
        history: Records requests that completed.
        quarantine: Rejects requests that crash engines.
        clock: Time source.
        rng: Splits traffic between the services of a route.
        domain: Failure domain of this instance.
    """

    def __init__(
        self,
        source: ActiveConfiguration,
        plain_forwarder: plain.PlainForwarder,
        stream_forwarder: stream.StreamForwarder,
        resumed: resumptions.Resumptions,
        budget: budgets.FleetRetryBudget,
        quotas: all_quotas.Quotas,
        history: crashes.CrashHistory,
        quarantine: quarantines.Quarantine,
        clock: clocks.Clock,
        rng: random.Random,
        *,
        domain: str,
    ) -> None:
        self._domain = domain
        self._source = source
        self._plain = plain_forwarder
        self._stream = stream_forwarder
        self._resumptions = resumed
        self._budget = budget
        self._quotas = quotas
        self._history = history
        self._quarantine = quarantine
        self._clock = clock
        self._rng = rng

    @contextlib.asynccontextmanager
    async def run(self, call: calls.Call) -> AsyncIterator[calls.Reply]:
        """Answers a request; the reply's body is read inside the block.

        Raises:
            WharfError: There is no answer, or it broke off inside the block.
        """
        try:
            run = self._new_run(call)
        except errors.WharfError as error:
            request_log.log_refusal(
                call.request_id,
                error,
                route="",
                held_ms=0.0,
                configuration=self._source.version,
            )
            raise
        outcome = request_log.CANCELLED
        try:
            async with (
                self._with_deadline(run),
                contextlib.AsyncExitStack() as stack,
            ):
                await self._quarantine.admit(run)
                reply = await self._begin(stack, run)
                self._quotas.record_admitted(run)
                held_ms = self._clock.now_ms() - call.arrived_ms
                request_log.log_response_start(
                    run, status=reply.status, took_ms=held_ms
                )
                yield reply
            outcome = request_log.FINISHED
            if reply.is_success:
                self._history.record_success(run.call)
        except errors.WharfError as error:
            held_ms = self._clock.now_ms() - call.arrived_ms
            outcome = error.kind.value
            request_log.log_refusal(
                call.request_id,
                error,
                route=run.route.name,
                held_ms=held_ms,
                configuration=run.configuration_version,
            )
            raise
        finally:
            if not run.may_have_run:
                self._quotas.refund(run)
            took_ms = self._clock.now_ms() - call.arrived_ms
            request_log.log_end(run, outcome, took_ms=took_ms)

    def _new_run(self, call: calls.Call) -> runs.Run:
        route = self._source.match(call.host, call.path)
        account = self._source.account_of(route, call.headers)
        call = self._without_key(call, account)
        service = self._select_service(route)
        self._budget.record_request(service)
        timeout_ms = route.timeout_ms
        if call.caller_timeout_ms is not None:
            timeout_ms = min(timeout_ms, call.caller_timeout_ms)
        deadline_at_ms = call.arrived_ms + timeout_ms
        return runs.Run(
            call,
            route,
            service,
            deadline_at_ms,
            domain=self._domain,
            account=account,
            configuration_version=self._source.version,
        )

    def _without_key(
        self, call: calls.Call, account: accounts.Account | None
    ) -> calls.Call:
        """Returns the request with the account's name and without its key.

        If no keys are configured, the ``Authorization`` header is meant for the
        endpoint and is forwarded.
        """
        if self._source.accounts.is_open:
            return call
        kept = tuple(h for h in call.headers if not _is_authorization(h[0]))
        name = None if account is None else account.name
        return dataclasses.replace(call, headers=kept, account=name)

    def _select_service(self, route: routes.Route) -> str:
        """Selects one of the route's services by weight."""
        names = [share.service for share in route.shares]
        if len(names) == 1:
            return names[0]
        weights = [share.weight for share in route.shares]
        return self._rng.choices(names, weights)[0]

    @contextlib.asynccontextmanager
    async def _with_deadline(self, run: runs.Run) -> AsyncIterator[None]:
        """Enforces the deadline and maps failures to errors for the caller."""
        try:
            async with self._clock.timeout_ms(run.left_ms(self._clock)):
                yield
        except client.EngineError as error:
            raise run.failure() from error
        except TimeoutError as error:
            raise run.deadline_error() from error

    async def _begin(
        self, stack: contextlib.AsyncExitStack, run: runs.Run
    ) -> calls.Reply:
        await self._resumptions.bind(run)
        current = self._source.current
        assert current is not None
        service = current.services.get(run.service)
        if run.route.is_stream and service is not None and service.engine:
            # Stored in the run, because a later configuration may remove the
            # service while the request runs.
            run.traits = service.engine
            # The quota is charged on placement, which the leader does for all
            # requests of the fleet.
            return await self._stream.begin(stack, run)
        self._quotas.take(run)
        return await self._plain.begin(stack, run)


def _is_authorization(name: str) -> bool:
    return name.lower() == bearer.HEADER.lower()
