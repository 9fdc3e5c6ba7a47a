"""The core of an instance: everything except its servers.

``EntryCore`` accesses the outside through adapters, so that tests and
experiments can run it with stand-ins on a virtual clock.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import random
import zlib

import mode

from jujubewharf import clock as clocks
from jujubewharf import errors
from jujubewharf.callers import accounts
from jujubewharf.configuration import changes
from jujubewharf.configuration import follower
from jujubewharf.engines import endpoint_client
from jujubewharf.leaving import leaving_endpoints
from jujubewharf.leaving import shutdown
from jujubewharf.membership import facts
from jujubewharf.membership import membership as memberships
from jujubewharf.orders import leases
from jujubewharf.orders import ownership
from jujubewharf.orders import reconciler
from jujubewharf.orders import reconciliation
from jujubewharf.peers import mesh
from jujubewharf.peers import peer
from jujubewharf.peers import streams
from jujubewharf.platform import live_list
from jujubewharf.platform import log
from jujubewharf.platform import weights
from jujubewharf.requests import answer_service
from jujubewharf.requests import claim_shard
from jujubewharf.requests import claims as request_claims
from jujubewharf.requests import keys
from jujubewharf.requests import limits
from jujubewharf.requests import model_request
from jujubewharf.requests import plain
from jujubewharf.requests import plain_claims
from jujubewharf.requests import plain_endpoints
from jujubewharf.requests import plain_replies
from jujubewharf.requests import request_runner
from jujubewharf.requests import sweep as sweeps
from jujubewharf.routing import default_policy
from jujubewharf.routing import fleet as fleets
from jujubewharf.routing import placer as placers
from jujubewharf.routing import policy as policies
from jujubewharf.routing import slot_coordinator
from jujubewharf.settings import models
from jujubewharf.telemetry import goodput


@dataclasses.dataclass(frozen=True, slots=True)
class Adapters:
    """Adapters through which a core accesses the outside.

    Attributes:
        log: The platform's log.
        live_list: The platform's live list.
        weight_store: The platform's weight store.
        make_engine_client: Creates the client of a model engine.
        endpoints: Client for plain endpoints.
        transport: Streams to and from peers.
    """

    log: log.Log
    live_list: live_list.LiveList
    weight_store: weights.WeightStore
    make_engine_client: fleets.ClientFactory
    endpoints: endpoint_client.EndpointClient
    transport: streams.Transport


class EntryCore(mode.Service):
    """The services of an instance, wired together.

    Args:
        settings: The instance's settings.
        clock: Clock for all timers.
        adapters: Adapters to the outside.
        policy: Placement policy; ``None`` selects the default policy.

    Attributes:
        configuration: Follows the configuration on the log.
        changes: Applies configuration changes of operators.
        fleet: Views of the engines.
        departing_endpoints: Endpoints that are reported to be leaving.
        admission: Counts requests in flight; closed by a shutdown.
        leases: Leases on the log.
        orders: Reconciles engines with the configuration by orders.
        accounts: Configured client accounts.
        model_limits: Limits of model requests at this instance.
        plain_limits: Limits of plain calls at this instance.
        plain: Runs plain calls.
        peers: Connections to the other instances.
        facts: Facts that are replicated to all instances.
        membership: Tracks which instances are present.
        runner: Runs model requests, and has their counters.
        answers: Runs the answers that this instance serves.
        claims: Claims of requests that may not be repeated.
    """

    def __init__(
        self,
        settings: models.EntrySettings,
        clock: clocks.Clock,
        adapters: Adapters,
        *,
        policy: policies.Policy | None = None,
    ) -> None:
        super().__init__()
        self.settings = settings
        self.clock = clock
        self.adapters = adapters
        timing = peer.Timing(
            settings.peers.heartbeat_ms, settings.peers.suspect_after_ms
        )
        self.peers = mesh.PeerMesh(
            settings.instance,
            settings.domain,
            clock,
            adapters.transport,
            timing=timing,
        )
        self.facts = facts.Facts(self.peers, clock)
        self.membership = memberships.Membership(
            self.peers,
            self.facts,
            settings.domain,
            adapters.live_list,
            clock,
            timing=timing,
            poll_ms=settings.platform.live_list_poll_ms,
        )
        self.configuration = follower.ConfigurationFollower(
            adapters.log,
            clock,
            wait_ms=settings.platform.log_wait_ms,
            instance=settings.instance,
            network=self.peers,
            membership=self.membership,
            retention_ms=settings.platform.log_retention_ms,
        )
        self.changes = changes.ChangeSubmitter(
            self.configuration, adapters.log, clock
        )
        self.fleet = fleets.Fleet(adapters.make_engine_client, clock)
        self.configuration.listen(self.fleet.on_configuration)
        self.coordinator = slot_coordinator.SlotCoordinator(
            self.fleet, self.peers, self.membership, clock
        )
        self.leases = leases.Leases(settings.instance, adapters.log, clock)
        self.orders = reconciler.Reconciler(
            reconciliation.ReconciliationContext(
                self.leases,
                self.fleet,
                self.configuration,
                adapters.weight_store,
                clock,
            ),
            is_assigned=ownership.Ownership(self.membership).is_assigned,
        )
        self.departing_endpoints = leaving_endpoints.LeavingEndpoints(
            self.facts,
            self.membership.listed_endpoints,
            self.fleet.leaving_engines,
            clock,
        )
        self.fleet.is_withheld = self._is_withheld
        self.admission = shutdown.AdmissionState()
        if policy is None:
            seed = zlib.crc32(settings.instance.encode())
            rng = random.Random(seed)
            policy = default_policy.DefaultPolicy(clock, rng)
        if isinstance(policy, policies.AsyncPolicy):
            self.fleet.should_poll = self.coordinator.is_coordinator
            policy.attach(
                policies.PolicyContext(
                    self.fleet, self.peers, self.membership, settings.domain
                )
            )
        self._placer = placers.Placer(policy, self.fleet, clock)
        self.runner = request_runner.RequestRunner(
            settings.instance,
            self.fleet,
            self._placer,
            clock,
        )
        self.key_homes = keys.KeyHomes(
            self.peers, self.membership, clock, self._incarnation_of
        )
        self.claims = request_claims.Claims(
            settings.instance,
            self.peers,
            self.membership,
            adapters.log,
            clock,
            retention=claim_shard.Retention(
                log_ms=settings.platform.log_retention_ms
            ),
        )
        self.answers = answer_service.AnswerService(
            settings.instance,
            self.runner,
            self.key_homes,
            self.claims,
            self.peers,
            self.membership,
            clock,
        )
        self.peers.on_hello(lambda hello: self.answers.rehoming.wake())
        self.sweep = sweeps.Sweep(
            settings.instance,
            lambda: self.configuration.current,
            self.fleet,
            self.runner.releaser,
            self.peers,
            self.membership,
            clock,
            self.runner.counters,
        )

        self.accounts = accounts.Accounts()
        self.configuration.listen(self.accounts.on_configuration)
        self.model_limits, self.plain_limits = (
            limits.Limits(
                clock, self.accounts.get, member_count=self._member_count
            )
            for _ in range(2)
        )
        chooser = plain_endpoints.EndpointChooser(
            settings.domain,
            clock,
            is_leaving=self.departing_endpoints.is_leaving,
        )
        self.configuration.listen(chooser.on_configuration)
        self.plain = plain.PlainRunner(
            adapters.endpoints,
            chooser,
            clock,
            claims=plain_claims.PlainClaims(self.claims),
        )
        self._plain_replies = plain_replies.PlainReplies(
            settings.instance, self.plain, self.peers, clock
        )

    async def on_start(self) -> None:
        """Starts all services, in the order of their dependencies."""
        await self.add_runtime_dependency(self.peers)
        await self.add_runtime_dependency(self.facts)
        await self.add_runtime_dependency(self.membership)
        await self.add_runtime_dependency(self.configuration)
        await self.add_runtime_dependency(self.fleet)
        await self.add_runtime_dependency(self.coordinator)
        await self.add_runtime_dependency(self.key_homes)
        await self.add_runtime_dependency(self.claims)
        await self.add_runtime_dependency(self.departing_endpoints)
        await self.add_runtime_dependency(self.leases)
        await self.add_runtime_dependency(self.orders)
        await self.add_runtime_dependency(self.answers)
        await self.add_runtime_dependency(self.sweep)

    def new_shutdown(self) -> shutdown.Shutdown:
        """Creates a graceful shutdown, which the caller runs."""
        return shutdown.Shutdown(
            self.admission,
            lambda: self.answers.running,
            self._hand_over,
            self.clock,
            grace_ms=self.settings.balancer_grace_ms,
            drain_ms=self.settings.drain_ms,
        )

    def _hand_over(self) -> None:
        """Stops orders and leaves the membership, so that peers take over."""
        self.orders.retire()
        self.membership.leave()

    def _is_withheld(self, engine: str) -> bool:
        if self.departing_endpoints.is_leaving(engine):
            return True
        return self.orders.is_out_of_service(engine)

    def _incarnation_of(self, instance: str) -> int:
        hello = self.peers.hello_of(instance)
        return self.peers.incarnation if hello is None else hello.incarnation

    def _member_count(self) -> int:
        return len(self.membership.present())

    async def answer(
        self, request: model_request.ModelRequest
    ) -> AsyncGenerator[model_request.Event, None]:
        """Answers a model request; see ``AnswerService.answer``."""
        deadline_at_ms = request.arrived_ms + request.deadline_ms
        stopwatch = goodput.Stopwatch(
            request.service, request.arrived_ms, self.clock
        )
        try:
            async with (
                self.admission.admitted(),
                self.model_limits.admitted(
                    request.account,
                    request.service,
                    deadline_at_ms=deadline_at_ms,
                    priority=request.priority,
                ),
                contextlib.aclosing(self.answers.answer(request)) as events,
            ):
                async for event in events:
                    stopwatch.observe(event)
                    yield event
        except errors.WharfError as error:
            stopwatch.record_outcome(error.kind.value)
            yield model_request.Failed(
                error.kind, error.ran, error.detail, error.retry_after_ms
            )
        except (asyncio.CancelledError, GeneratorExit):
            stopwatch.record_outcome(errors.ErrorKind.CANCELLED.value)
            raise

    @contextlib.asynccontextmanager
    async def call_plain(
        self, request: plain.PlainRequest
    ) -> AsyncIterator[endpoint_client.PlainReply]:
        """Calls a plain service; see ``plain_replies.PlainReplies.run``."""
        async with (
            self.admission.admitted(),
            self.plain_limits.admitted(
                request.account,
                request.service,
                deadline_at_ms=request.deadline_at_ms,
                priority=request.priority,
            ),
            self._plain_replies.run(request) as reply,
        ):
            yield reply
