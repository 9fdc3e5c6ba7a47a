"""What this instance knows of the engines: reports and its own work there."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses

import mode

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.configuration import state as states
from jujubewharf.engines import client as engine_client

ClientFactory = Callable[[resources.Endpoint], engine_client.EngineClient]
Withheld = Callable[[str], bool]

_POLL_MS = 250.0


@dataclasses.dataclass(slots=True)
class EngineView:
    """One engine as this instance sees it.

    Attributes:
        endpoint: Its configuration.
        client: How to speak to it.
        report: Its latest load report.
        heard_ms: When that came; ``None`` before the first.
        own_slots: Slots that this instance's requests hold there.
        own_prefill_tokens: Prompt tokens this instance has sent there.
        is_suspect: Whether its last call found nobody.
        withheld: Tells whether new work is kept from an engine for now.
    """

    endpoint: resources.Endpoint
    client: engine_client.EngineClient
    report: engine_client.LoadReport | None = None
    heard_ms: float | None = None
    own_slots: int = 0
    own_prefill_tokens: int = 0
    is_suspect: bool = False
    withheld: Withheld = lambda name: False

    @property
    def says_leaving(self) -> bool:
        """Whether the engine itself lately said that it leaves."""
        return self.report is not None and self.report.is_leaving

    @property
    def takes_work(self) -> bool:
        """Whether new work may be sent there."""
        if self.endpoint.drained or self.is_suspect:
            return False
        if self.withheld(self.endpoint.name):
            return False
        return self.report is not None and not self.report.is_leaving


class Fleet(mode.Service):
    """Views of all engines in the configuration, kept fresh by polling.

    Args:
        make_client: Makes the client of an endpoint.
        clock: Time.

    Attributes:
        withheld: Tells whether new work is kept from an engine for now.
    """

    def __init__(self, make_client: ClientFactory, clock: clocks.Clock) -> None:
        super().__init__()
        self.withheld: Withheld = lambda name: False
        self._make_client = make_client
        self._clock = clock
        self._views: dict[str, EngineView] = {}

    def on_configuration(self, state: states.State) -> None:
        """Takes over the engines of a configuration."""
        wanted: dict[str, resources.Endpoint] = {}
        for entry in state.of_kind(resources.Kind.ENDPOINT):
            endpoint = entry.resource
            assert isinstance(endpoint, resources.Endpoint)
            if endpoint.role is not resources.Role.PLAIN:
                wanted[endpoint.name] = endpoint
        for name in set(self._views) - set(wanted):
            del self._views[name]
        for name, endpoint in wanted.items():
            self._take_over(name, endpoint)

    def views_of(self, service: str) -> list[EngineView]:
        """Views of a service's engines, by name."""
        return [
            view
            for _, view in sorted(self._views.items())
            if view.endpoint.service == service
        ]

    def say_leaving(self) -> list[str]:
        """Engines that lately said themselves that they leave, by name."""
        return [
            name
            for name, view in sorted(self._views.items())
            if view.says_leaving
        ]

    def view(self, name: str) -> EngineView | None:
        """The view of one engine."""
        return self._views.get(name)

    def _take_over(self, name: str, endpoint: resources.Endpoint) -> None:
        view = self._views.get(name)
        if view is not None and view.endpoint.address == endpoint.address:
            view.endpoint = endpoint
            return
        self._views[name] = EngineView(
            endpoint,
            self._make_client(endpoint),
            withheld=lambda engine: self.withheld(engine),
        )

    @mode.Service.task
    async def _poll(self) -> None:
        while not self.should_stop:
            for view in list(self._views.values()):
                await self._poll_one(view)
            await self._clock.sleep_ms(_POLL_MS)

    async def _poll_one(self, view: EngineView) -> None:
        try:
            view.report = await view.client.load()
        except engine_client.EngineError:
            view.is_suspect = True
            return
        view.is_suspect = False
        view.heard_ms = self._clock.now_ms()
