"""Engine views: the latest reports and the local use of each engine."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import math

import mode

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.configuration import state as states
from jujubewharf.engines import client as engine_client
from jujubewharf.peers import slot_messages
from jujubewharf.routing import breaker as breakers
from jujubewharf.routing import prefix_hints

ClientFactory = Callable[[resources.Endpoint], engine_client.EngineClient]
WithheldCheck = Callable[[str], bool]

_POLL_MS = 250.0
_POLL_TIMEOUT_MS = 1_000.0
_DIGEST_MAX_AGE_MS = 10_000.0
_LEAVING_AFTER_REFUSAL_MS = 3_000.0
_DEFAULT_KV_BYTES_PER_TOKEN = resources.Model("").kv_bytes_per_token


@dataclasses.dataclass(slots=True)
class EngineView:
    """The state of one engine as known to this instance.

    Attributes:
        endpoint: Configuration of the engine.
        client: Client of the engine.
        clock: Time source.
        report: Latest load report.
        report_received_ms: Clock reading at which ``report`` arrived; ``None``
            before the first.
        own_slots: Slots held there by requests of this instance.
        own_prefill_tokens: Prompt tokens sent there by this instance.
        leaving_until_ms: Clock reading until which the engine counts as
            leaving.
        digest: Latest digest from the engine's coordinator.
        digest_received_ms: Clock reading at which ``digest`` arrived; ``None``
            before the first.
        requested_since_digest: Slots requested by this instance since then.
        breaker: Circuit breaker of the engine.
        is_withheld: Tells by engine name whether new work is withheld.
    """

    endpoint: resources.Endpoint
    client: engine_client.EngineClient
    clock: clocks.Clock
    report: engine_client.LoadReport | None = None
    report_received_ms: float | None = None
    own_slots: int = 0
    own_prefill_tokens: int = 0
    leaving_until_ms: float = -math.inf
    digest: slot_messages.EngineLoad | None = None
    digest_received_ms: float | None = None
    requested_since_digest: int = 0
    is_withheld: WithheldCheck = lambda name: False
    breaker: breakers.Breaker = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.breaker = breakers.Breaker(self.clock)

    @property
    def is_suspect(self) -> bool:
        """Whether the circuit breaker is open."""
        return self.breaker.is_open

    @property
    def reports_leaving(self) -> bool:
        """Whether the engine's latest report says that it is leaving."""
        return self.report is not None and self.report.is_leaving

    @property
    def takes_work(self) -> bool:
        """Whether the engine accepts new work."""
        if self.endpoint.drained or self.is_suspect:
            return False
        if self.is_withheld(self.endpoint.name):
            return False
        if self.leaving_until_ms > self.clock.now_ms():
            return False
        if self.report is not None:
            return not self.report.is_leaving
        return self.digest is not None and self.digest.is_usable

    @property
    def has_digest(self) -> bool:
        """Whether a recent digest from the coordinator is available."""
        if self.digest_received_ms is None:
            return False
        return (
            self.clock.now_ms() - self.digest_received_ms < _DIGEST_MAX_AGE_MS
        )

    @property
    def step_ms(self) -> float:
        """Time between tokens, from the report or else the digest."""
        if self.report is not None:
            return self.report.step_ms
        return float(self.digest.step_ms) if self.digest is not None else 0.0

    @property
    def slots(self) -> int:
        """Number of slots, from the report or else the configuration."""
        if self.report is not None and self.report.slots_total > 0:
            return self.report.slots_total
        return self.endpoint.slots

    def record_failure(self, fault: engine_client.EngineFault) -> None:
        """Records a failed call."""
        self.breaker.record_failure(fault)
        if fault is engine_client.EngineFault.REFUSED_LEAVING:
            now_ms = self.clock.now_ms()
            self.leaving_until_ms = max(
                self.leaving_until_ms, now_ms + _LEAVING_AFTER_REFUSAL_MS
            )

    def apply_digest(
        self, digest: slot_messages.EngineLoad, now_ms: float
    ) -> None:
        """Stores a digest from the engine's coordinator."""
        self.digest = digest
        self.digest_received_ms = now_ms
        self.requested_since_digest = 0


class Fleet(mode.Service):
    """Views of all engines in the configuration.

    Polls the engines that this instance coordinates. The polling rate is
    limited in total, because the bandwidth for control traffic is small. The
    state of other engines arrives as digests from their coordinators.

    Args:
        make_client: Creates the client of an endpoint.
        clock: Time source.

    Attributes:
        is_withheld: Tells by engine name whether new work is withheld.
        should_poll: Tells whether this instance polls an engine.
        hints: Hints of the prefixes that engines have cached.
    """

    def __init__(self, make_client: ClientFactory, clock: clocks.Clock) -> None:
        super().__init__()
        self.is_withheld: WithheldCheck = lambda name: False
        self.should_poll: Callable[[EngineView], bool] = lambda view: True
        self.hints = prefix_hints.PrefixHints(clock)
        self._make_client = make_client
        self._clock = clock
        self._views: dict[str, EngineView] = {}
        self._sorted_views: list[EngineView] = []
        self._by_service: dict[str, list[EngineView]] = {}
        self._by_service_and_domain: dict[
            tuple[str, str], list[EngineView]
        ] = {}
        self._kv_bytes: dict[str, int] = {}
        self._services: dict[str, resources.Service] = {}

    def on_configuration(self, state: states.State) -> None:
        """Updates the views to a new configuration."""
        declared: dict[str, resources.Endpoint] = {}
        for entry in state.of_kind(resources.Kind.ENDPOINT):
            endpoint = entry.resource
            assert isinstance(endpoint, resources.Endpoint)
            if endpoint.role is not resources.Role.PLAIN:
                declared[endpoint.name] = endpoint
        for entry in state.of_kind(resources.Kind.SERVICE):
            service = entry.resource
            assert isinstance(service, resources.Service)
            self._services[service.name] = service
        for entry in state.of_kind(resources.Kind.MODEL):
            model = entry.resource
            assert isinstance(model, resources.Model)
            self._kv_bytes[model.name] = model.kv_bytes_per_token
        for name in sorted(set(self._views) - set(declared)):
            del self._views[name]
        for name, endpoint in declared.items():
            self._update_view(name, endpoint)
        self._rebuild_indexes()

    def views_of(self, service: str) -> list[EngineView]:
        """Returns the views of a service's engines, sorted by name."""
        return self._by_service.get(service, [])

    def views_near(self, service: str, domain: str) -> list[EngineView]:
        """Returns the views of a service's engines in one failure domain."""
        return self._by_service_and_domain.get((service, domain), [])

    def all_views(self) -> list[EngineView]:
        """Returns the views of all engines, sorted by name."""
        return self._sorted_views

    def mark_leaving(
        self,
        engine: str,
        is_leaving: bool,
        *,
        until_ms: float = math.inf,
    ) -> None:
        """Marks an engine as leaving, so that it gets no new work.

        Args:
            engine: Name of the engine.
            is_leaving: False removes the mark.
            until_ms: Clock reading at which the mark expires.
        """
        view = self._views.get(engine)
        if view is not None:
            view.leaving_until_ms = until_ms if is_leaving else -math.inf

    def service(self, name: str) -> resources.Service | None:
        """Returns a service of the configuration."""
        return self._services.get(name)

    def kv_bytes_per_token(self, model: str) -> int:
        """Returns a model's configured KV cache bytes per prompt token."""
        return self._kv_bytes.get(model, _DEFAULT_KV_BYTES_PER_TOKEN)

    def leaving_engines(self) -> list[str]:
        """Returns the engines whose latest report says they are leaving."""
        return [
            name
            for name, view in sorted(self._views.items())
            if view.reports_leaving
        ]

    def view(self, name: str) -> EngineView | None:
        """Returns the view of one engine."""
        return self._views.get(name)

    def _rebuild_indexes(self) -> None:
        """Rebuilds the indexes, so that decisions need not search all views."""
        self._sorted_views = [view for _, view in sorted(self._views.items())]
        self._by_service, self._by_service_and_domain = {}, {}
        for view in self._sorted_views:
            service, domain = view.endpoint.service, view.endpoint.domain
            self._by_service.setdefault(service, []).append(view)
            self._by_service_and_domain.setdefault(
                (service, domain), []
            ).append(view)

    def _update_view(self, name: str, endpoint: resources.Endpoint) -> None:
        view = self._views.get(name)
        if view is not None and view.endpoint.address == endpoint.address:
            view.endpoint = endpoint
            return
        self._views[name] = EngineView(
            endpoint,
            self._make_client(endpoint),
            self._clock,
            is_withheld=lambda engine: self.is_withheld(engine),
        )

    @mode.Service.task
    async def _poll(self) -> None:
        while not self.should_stop:
            to_poll = self._views_to_poll()
            for view in to_poll:
                self.add_future(self._poll_one(view))
            await self._clock.sleep_ms(_POLL_MS * max(1, len(to_poll)))

    def _views_to_poll(self) -> list[EngineView]:
        """Returns the engines to poll; discards the reports of the others."""
        to_poll = []
        for view in self.all_views():
            if self.should_poll(view) or not view.has_digest:
                to_poll.append(view)
            else:
                view.report = view.report_received_ms = None
        return to_poll

    async def _poll_one(self, view: EngineView) -> None:
        try:
            async with self._clock.timeout_ms(_POLL_TIMEOUT_MS):
                report = await view.client.load()
        except TimeoutError:
            self.hints.remove_engine(view.endpoint.name)
            view.breaker.record_silence()
            return
        except engine_client.EngineError:
            self.hints.remove_engine(view.endpoint.name)
            view.record_failure(engine_client.EngineFault.UNREACHABLE)
            return
        view.breaker.record_success()
        view.report = report
        view.report_received_ms = self._clock.now_ms()
