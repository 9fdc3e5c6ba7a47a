"""Assembles a forwarding instance from its components and adapters."""

from __future__ import annotations

from collections.abc import AsyncIterator
import contextlib
import dataclasses
import random

import mode

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.endpoint_load import endpoint_state
from jujubewharf.endpoint_paths import endpoint_paths
from jujubewharf.engine_speeds import speeds
from jujubewharf.forwarding import budget
from jujubewharf.forwarding import calls
from jujubewharf.forwarding import costs
from jujubewharf.forwarding import crashes
from jujubewharf.forwarding import first_look
from jujubewharf.forwarding import fleet_share
from jujubewharf.forwarding import forwarder
from jujubewharf.forwarding import instance_shares
from jujubewharf.forwarding import lease as leases
from jujubewharf.forwarding import margins
from jujubewharf.forwarding import observations
from jujubewharf.forwarding import placement
from jujubewharf.forwarding import pool
from jujubewharf.forwarding import ports
from jujubewharf.forwarding import request_path
from jujubewharf.forwarding import role_controller
from jujubewharf.forwarding import routes
from jujubewharf.forwarding import settings as all_settings
from jujubewharf.forwarding import state_log
from jujubewharf.forwarding import store_followers
from jujubewharf.forwarding import view_refresh
from jujubewharf.held_memory import memory_account
from jujubewharf.leadership import crash_services
from jujubewharf.leadership import fleet as fleets
from jujubewharf.leadership import fleet_crashes
from jujubewharf.leadership import fleet_limits
from jujubewharf.leadership import fleet_origins
from jujubewharf.leadership import fleet_quotas
from jujubewharf.leadership import fleet_retries
from jujubewharf.leadership import leadership
from jujubewharf.leadership import led
from jujubewharf.leadership import load_digests
from jujubewharf.leadership import plain_permits
from jujubewharf.leadership import replica_set
from jujubewharf.leadership import shared_state
from jujubewharf.leadership import stored_origins
from jujubewharf.leaving import shutdown
from jujubewharf.overload import part_log
from jujubewharf.overload import parts
from jujubewharf.overload import view
from jujubewharf.peers import origin_messages
from jujubewharf.peers import role_messages
from jujubewharf.platform import availability as availabilities
from jujubewharf.platform import epochs
from jujubewharf.platform import groups
from jujubewharf.platform import tables
from jujubewharf.requests import plain_endpoints
from jujubewharf.role_orders import ledger
from jujubewharf.stream_versions import lifetimes
from jujubewharf.stream_versions import origins
from jujubewharf.telemetry import containment

# Time for the load balancer, which probes every second, to remove an instance
# after two failed probes.
_BALANCER_GRACE_MS = 2_600.0
# Reserve for closing connections before SIGKILL.
_CLOSE_RESERVE_MS = 500.0


@dataclasses.dataclass(frozen=True, slots=True)
class Adapters:
    """Interfaces of an instance to external systems.

    Attributes:
        backends: Client for engines and plain endpoints.
        configurations: Table of routing configurations.
        endpoints: Table of endpoint registrations.
        group: Group of all instances.
        epoch: Epoch of the store that holds tables and groups.
        peers: Connections between instances; ``None`` without a leader.
        crashes: Table of crash reports; ``None`` if they are not stored.
        origins: Table of where streams began; ``None`` if it isn't stored.
        held: Account of the memory that is held for callers and peers;
            ``None`` for one with the default bound.
    """

    backends: ports.Backends
    configurations: tables.Table[routes.RoutingConfiguration | None]
    endpoints: tables.Table[resources.Endpoint]
    group: groups.Group
    epoch: epochs.StoreEpoch
    peers: ports.PeerAdapters | None = None
    crashes: tables.WritableTable | None = None
    origins: tables.WritableTable | None = None
    held: memory_account.HeldMemory | None = None


class ForwardingEntry(mode.Service):
    """An instance without its listeners.

    Args:
        settings: Settings of the instance.
        clock: Time source.
        adapters: Interfaces to external systems.
        rng: Random numbers, seeded in tests.

    Attributes:
        held: Account of the memory that is held for callers and peers.
        admission: Counts requests in flight; closed on shutdown.
        source: Configuration in force.
        registry: Registered endpoints.
        paths: Paths to endpoints, by itself and through peers.
        backpressure: Rate limits, backoffs and drain notices of endpoints.
        loads: Load that endpoints have reported.
        share: This instance's share of fleet-wide limits if there is no leader.
        fleet: Link to the leader, or to the followers if this instance leads.
        shares: Shares of fleet-wide limits that it has without a leader.
        lease: Lease that is required to send orders to engines.
        budget: Retry budget of this instance.
        quotas: Enforces account quotas.
        endpoint_limits: Enforces rate limits set by endpoints.
        work: Observed costs of requests.
        crashes: Crash history of requests.
        fleet_crashes: Shares the crash history between instances.
        plain_permits: Permits of plain calls.
        overload: What this instance knows about the load of services.
    """

    def __init__(
        self,
        settings: all_settings.ForwardingSettings,
        clock: clocks.Clock,
        adapters: Adapters,
        rng: random.Random,
    ) -> None:
        super().__init__()
        self._settings = settings
        self._clock = clock
        self._availability = availabilities.StoreAvailability(clock)
        self._leadership: leadership.Leadership | None = None
        self._replicas: replica_set.ReplicaSet | None = None
        self._unknown_accounts: set[str] = set()
        self.held = adapters.held or memory_account.HeldMemory(clock)
        self.admission = shutdown.AdmissionState()
        self.source = forwarder.ActiveConfiguration()
        self.source.on_applied = self._on_applied
        self.paths = endpoint_paths.EndpointPaths(adapters.backends, clock)
        self._endpoint_state = endpoint_state.EndpointState(
            clock,
            self.paths.backends,
            is_first_start=settings.is_first_start,
        )
        self.backpressure = self._endpoint_state.backpressure
        self.registry = self._endpoint_state.registry
        self.registry.add_listener(self.paths.reachability.set_endpoints)
        self.loads = self._endpoint_state.loads
        self.share = fleet_share.FleetShare(
            adapters.group,
            clock,
            default_share=instance_shares.ISOLATED_SHARE,
        )
        self.work = costs.CostEstimates()
        self.crashes = crashes.CrashHistory(clock)
        self.budget = budget.FleetRetryBudget(
            clock,
            ratio=settings.retries.ratio,
            slack=settings.retries.slack,
            window_ms=settings.retries.window_ms,
            share=self._slack_share,
        )
        self._costs = costs.FleetCostEstimator(self.work)
        digests = load_digests.LoadDigests(self.loads)
        self.registry.add_listener(digests.set_endpoints)
        self._role_orders = ledger.OrderLedger(clock)
        shared = shared_state.SharedState(
            self.backpressure,
            self.crashes,
            self.source,
            digests,
            self._role_orders,
            origins.StreamOrigins(clock),
            self._endpoint_state.versions,
        )
        self.fleet = fleets.Fleet(
            self.registry,
            self.work,
            shared,
            lambda: self._endpoints.offset,
            adapters.epoch,
            clock,
            in_force_within_ms=settings.store.in_force_within_ms,
            leaving_within_ms=settings.store.leaving_within_ms,
            count_within_ms=settings.retries.window_ms,
        )
        self._first_look = first_look.FirstLook(self.fleet, clock)
        self.shares = instance_shares.InstanceShares(
            self.share,
            self.fleet,
            lambda: self._leadership is not None,
            lambda: self._settings.retries.window_ms,
        )
        self.endpoint_limits = fleet_limits.FleetLimits(
            self.fleet,
            self.backpressure,
            self.shares.of_rate_limits,
            clock,
            rng,
        )
        self.fleet_retries = fleet_retries.FleetRetries(
            self.fleet,
            self.budget,
            clock,
            window_ms=settings.retries.window_ms,
            name=settings.instance,
        )
        self.fleet_crashes = fleet_crashes.FleetCrashes(
            self.fleet, self.crashes, clock
        )
        self._crash_services = crash_services.new_crash_services(
            adapters.crashes,
            self.fleet,
            self.crashes,
            self.fleet_crashes,
            adapters.epoch,
            clock,
            rng,
            self._availability,
        )
        self._endpoint_state.versions.on_change = self._tell_versions
        self._lifetimes = lifetimes.StreamLifetimes()
        self._stored_origins = stored_origins.new_stored_origins(
            adapters.origins,
            self.fleet,
            self._endpoint_state.versions,
            self._lifetimes,
            adapters.epoch,
            clock,
        )
        self._origins = fleet_origins.FleetOrigins(
            self.fleet,
            shared,
            clock,
            domain=settings.domain,
            stored=self._stored_origins,
        )
        self.quotas = fleet_quotas.FleetQuotas(
            self.fleet,
            self.source,
            self.shares.of_quotas,
            settings.quotas,
            clock,
            rng,
        )
        peers = adapters.peers
        # The leader sends the orders; without peers, the holder of the first
        # partition of the group does.
        self.lease = (
            self.share.lease
            if peers is None
            else leases.GroupLease(peers.leaders, clock, name="leaders")
        )
        self._forwarder = self._make_forwarder(adapters, shared, rng)
        self._configurations = store_followers.new_configuration_follower(
            adapters.configurations,
            self.fleet,
            settings.store,
            adapters.epoch,
            clock,
            rng,
            self._availability,
            on_page=self._on_configurations,
        )
        self._endpoints = store_followers.new_endpoint_follower(
            adapters.endpoints,
            self.fleet,
            settings.store,
            adapters.epoch,
            clock,
            rng,
            self._availability,
            on_page=self._on_endpoints,
            on_lost=self.registry.mark_store_unavailable,
        )
        self._view_refresh = view_refresh.ViewRefresh(
            self.registry, self._endpoints.read_now, clock
        )
        self.fleet.feeds.endpoints.on_confirmed = self._on_endpoints_confirmed

    def _make_forwarder(
        self,
        adapters: Adapters,
        shared: shared_state.SharedState,
        rng: random.Random,
    ) -> forwarder.Forwarder:
        clock = self._clock
        backends = self.paths.backends
        chooser = plain_endpoints.EndpointChooser(
            self._settings.domain,
            clock,
            is_leaving=self._endpoint_state.rejects_work,
            is_limited=self.backpressure.is_limited,
        )
        self.registry.add_listener(chooser.set_endpoints)
        engines = pool.EnginePool(
            self.work,
            self.backpressure,
            clock,
            rng,
            speeds.EngineSpeeds(clock, self.loads.slowdown),
        )
        lengths = margins.ResponseLengths()
        self.registry.add_listener(engines.update_engines)
        self._role_controller = role_controller.RoleController(
            self._settings.instance,
            backends,
            self.registry,
            self.lease,
            lambda: self._costs.estimates,
            self._services,
            clock,
            on_accepted=engines.record_role_change,
            is_backing_off=self.backpressure.is_backing_off,
            work_rate=engines.speeds.work_rate,
            ledger=self._role_orders,
        )
        self._role_orders.on_recorded = lambda order: self.fleet.tell(
            role_messages.RoleOrders.from_known([order], clock.now_ms())
        )
        self._placement = places = placement.Placement(
            backends,
            self.registry,
            engines,
            self.work,
            lengths,
            self.quotas,
            self.endpoint_limits,
            self.backpressure,
            self._endpoint_state.versions,
            lambda: self.fleet.has_placed_all,
            lambda: self.fleet.role.value,
            clock,
            rng,
        )
        self.plain_permits = plain_permits.FleetPlainPermits(
            self.fleet,
            self.registry,
            self.loads,
            shared,
            chooser,
            self.endpoint_limits,
            self.source,
            clock,
            rng,
            domain=self._settings.domain,
        )
        self.overload = view.OverloadView(
            places, self.plain_permits.queues, engines.speeds, self._services
        )
        self._parts = part_log.PartLog(
            self._settings,
            lambda: self.source.current,
            parts.Observed(
                self.plain_permits.reports_load, engines.speeds.speeds_differ
            ),
            clock,
        )
        self._apply_admission()
        local = observations.LocalObserver(self.work, lengths, engines)
        observed = led.FleetObserver(
            self.fleet.link, local, self.loads.slowdown
        )
        if adapters.peers is not None:
            self._leadership = self._make_leadership(
                adapters.peers, places, local, rng
            )
        return request_path.new_forwarder(
            request_path.Parts(
                backends,
                self.source,
                self.registry,
                chooser,
                self.plain_permits,
                led.FleetPlacer(self.fleet.link, places),
                observed,
                self.budget,
                self.quotas,
                self.endpoint_limits,
                self.backpressure,
                self.crashes,
                self.fleet_crashes,
                self._origins,
                self._endpoint_state.versions,
                self._refresh_view,
                self._lifetimes,
            ),
            clock,
            rng,
            domain=self._settings.domain,
        )

    def _tell_versions(self) -> None:
        """Tells followers of a version, which may be gone by the next read."""
        if self.fleet.is_leading:
            message = origin_messages.VersionsSeen.from_history(
                self._endpoint_state.versions, self._clock.now_ms()
            )
            self.fleet.tell(message)

    async def _refresh_view(self) -> None:
        await self._view_refresh.refresh()

    def _make_leadership(
        self,
        peers: ports.PeerAdapters,
        places: placement.Placement,
        local: observations.LocalObserver,
        rng: random.Random,
    ) -> leadership.Leadership:
        """Creates the leadership, and connects the followers with its parts."""
        new = self.fleet.new_leadership(
            self._settings.instance,
            self._settings.domain,
            peers,
            self.lease,
            fleets.placement_server_factory(
                places,
                local,
                self.source,
                self._costs,
                self.quotas,
                self.endpoint_limits,
                self.fleet_crashes,
                self.plain_permits.new_server,
                self._clock,
            ),
            rng,
            cores=self._settings.processor.cores,
            availability=self._availability,
        )
        assert self.fleet.followers is not None
        assert self.fleet.hello is not None
        self.fleet.followers.on_relay = self.paths.connect_peers(
            peers.transport,
            self.fleet.hello,
            self.fleet.known_peers,
            self.registry,
            self.admission,
            self._endpoint_state.apply_notice,
            self.held,
        ).serve
        self.fleet.followers.on_leading_changed = (
            self.plain_permits.queues.reset
        )
        self.fleet_retries.attach(self.fleet.followers)
        self._replicas = self._origins.connect(peers.transport)
        return new

    async def on_start(self) -> None:
        """Starts the services of the instance."""
        self._parts.log_settings()
        await self.add_runtime_dependency(self.quotas)
        await self.add_runtime_dependency(self._configurations)
        await self.add_runtime_dependency(self._endpoints)
        for service in self._crash_services:
            await self.add_runtime_dependency(service)
        if self._stored_origins is not None:
            await self.add_runtime_dependency(self._stored_origins.writer)
        if self._leadership is None:
            await self.add_runtime_dependency(self.share)
        await self.add_runtime_dependency(self._role_controller)
        await self.add_runtime_dependency(self.paths.probes)
        if self._leadership is not None:
            await self.add_runtime_dependency(self.fleet_retries)
            assert self._replicas is not None
            await self.add_runtime_dependency(self._replicas)
            await self.add_runtime_dependency(self._origins)
            await self.add_runtime_dependency(self._leadership)

    def _slack_share(self) -> float:
        """Returns this instance's share of the retry budget's allowance."""
        if self._leadership is None:
            return self.share.fraction
        return self.fleet_retries.share()

    def _services(self) -> dict[str, routes.RoutedService]:
        current = self.source.current
        return {} if current is None else current.services

    @property
    def domain(self) -> str:
        """Failure domain of this instance."""
        return self._settings.domain

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer may send requests to this instance."""
        is_initialized = (
            self.source.current is not None and self.registry.is_loaded
        )
        return (
            self.admission.is_ready
            and is_initialized
            and self._first_look.is_over(self._leadership)
            and not self.paths.is_stranded
        )

    @property
    def limits(self) -> routes.CallerLimits:
        """Limits on callers; defaults before the first configuration."""
        current = self.source.current
        return routes.CallerLimits() if current is None else current.limits

    @contextlib.asynccontextmanager
    async def run(self, call: calls.Call) -> AsyncIterator[calls.Reply]:
        """Answers a request; see ``forwarder.Forwarder.run``."""
        async with (
            self.admission.admitted(),
            self._forwarder.run(self._within_shutdown(call)) as reply,
        ):
            yield reply
        self._parts.check()

    def _within_shutdown(self, call: calls.Call) -> calls.Call:
        """Limits a request to the time that the process still runs.

        It would be passed on later than it can be answered, and cut.
        """
        ends_at_ms = self.admission.ends_at_ms
        if ends_at_ms is None:
            return call
        limits_ms = [ends_at_ms - call.arrived_ms]
        if call.caller_timeout_ms is not None:
            limits_ms.append(call.caller_timeout_ms)
        return dataclasses.replace(call, caller_timeout_ms=min(limits_ms))

    def apply_settings(self, settings: all_settings.ForwardingSettings) -> None:
        """Applies settings that can change while the process runs."""
        self._settings = settings
        self._apply_admission()
        self._parts.apply_settings(settings)
        self._log_unknown_accounts()
        self.quotas.quota_settings = settings.quotas
        self.budget.change(
            ratio=settings.retries.ratio,
            slack=settings.retries.slack,
            window_ms=settings.retries.window_ms,
        )
        self.fleet_retries.change_window(settings.retries.window_ms)

    def _apply_admission(self) -> None:
        policy = self._settings.admission.policy
        self._placement.apply_policy(policy)
        self.plain_permits.apply_settings(
            is_enabled=self._settings.plain_calls.queue, policy=policy
        )

    def _log_unknown_accounts(self) -> None:
        """Logs the accounts with a weight that aren't configured."""
        weights = self._settings.admission.account_weights
        unknown = weights.keys() - self.source.accounts.by_name.keys()
        if unknown != self._unknown_accounts:
            self._unknown_accounts = unknown
            state_log.log_unknown_accounts(unknown)

    def retries_left(self) -> dict[str, float]:
        """Returns the remaining retries of this instance by service."""
        return {name: self.budget.remaining(name) for name in self._services()}

    def new_shutdown(self) -> shutdown.Shutdown:
        """Creates a graceful shutdown, to be run by the caller."""
        return shutdown.Shutdown(
            self.admission,
            lambda: 0,
            self._hand_over,
            self._clock,
            grace_ms=_BALANCER_GRACE_MS,
            drain_ms=self._settings.stop_within_s * clocks.MS_PER_S
            - _CLOSE_RESERVE_MS,
        )

    def _hand_over(self) -> None:
        self.add_future(self._leave())

    async def _leave(self) -> None:
        with containment.contained("leave"):
            if self._leadership is None:
                await self.share.leave()
            else:
                await self._leadership.leave()

    def _on_applied(
        self,
        configuration: routes.RoutingConfiguration,
        position: int,
        told_by: str,
    ) -> None:
        self.quotas.remove_unconfigured()
        self._lifetimes.learn(configuration.routes)
        self._log_unknown_accounts()
        state_log.log_active_configuration(
            configuration, offset=position, told_by=told_by
        )

    def _on_configurations(
        self,
        page: tables.TablePage[routes.RoutingConfiguration | None],
        is_full_read: bool,
    ) -> None:
        for record in page.records:
            if record.value is not None:
                self.source.apply(
                    record.value,
                    position=record.offset,
                    told_by="leader" if page.is_from_leader else "store",
                )
        if self.fleet.followers is not None:
            with containment.contained("publish_configurations"):
                self.fleet.followers.publish_configurations(
                    page.records, page.end
                )

    def _on_endpoints(
        self, page: tables.TablePage[resources.Endpoint], is_full_read: bool
    ) -> None:
        with containment.contained("apply_endpoints"):
            self._endpoint_state.apply_page(page, is_full_read=is_full_read)
            self._parts.check()
        if self.fleet.followers is not None:
            with containment.contained("publish_endpoints"):
                self.fleet.followers.publish_endpoints(
                    page.records, page.end, is_full_read=is_full_read
                )

    def _on_endpoints_confirmed(self, end: int, age_ms: float) -> None:
        """Counts the leader's read as this instance's, once all is applied."""
        if self._endpoints.offset >= end:
            self.registry.mark_confirmed(age_ms=age_ms)
