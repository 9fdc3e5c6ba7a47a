"""What an instance knows about endpoints: registrations, limits and load."""

from __future__ import annotations

from collections.abc import Sequence

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.endpoint_load import table
from jujubewharf.engines import notices
from jujubewharf.forwarding import backpressure
from jujubewharf.forwarding import ports
from jujubewharf.forwarding import registry
from jujubewharf.platform import tables
from jujubewharf.stream_versions import version_history


class EndpointState:
    """Registry, backpressure and load table, and what they tell each other.

    Args:
        clock: Time source.
        backends: Client whose notices are applied.
        is_first_start: Whether the deployment starts for the first time.

    Attributes:
        registry: Registered endpoints.
        backpressure: Rate limits, backoffs and drain notices of endpoints.
        loads: Load that endpoints have reported.
        versions: Software versions that services have had.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        backends: ports.Backends,
        *,
        is_first_start: bool = False,
    ) -> None:
        self.loads = table.LoadTable(clock)
        self.backpressure = backpressure.Backpressure(clock)
        self.registry = registry.Registry(clock, self.backpressure.is_leaving)
        self.registry.add_listener(self._drop_unregistered)
        self.versions = version_history.VersionHistory(
            clock, is_first_start=is_first_start
        )
        self.versions.view_age_ms = lambda: self.registry.age_ms
        self.registry.add_listener(self._record_versions)
        self.registry.on_record = self.versions.note_record
        self.registry.on_drained_before_restore = self.backpressure.mark_leaving
        self.backpressure.on_drain_notice = self.registry.handle_drain_notice
        self.backpressure.is_registered = self.registry.is_registered
        backends.listen(self.apply_notice)

    def rejects_work(self, name: str) -> bool:
        """Returns whether an endpoint accepts no requests at the moment."""
        if not self.registry.takes_work(name):
            return True
        return self.backpressure.is_deferred(name)

    def apply_page(
        self, page: tables.TablePage[resources.Endpoint], *, is_full_read: bool
    ) -> None:
        """Applies a page of the endpoint table.

        Args:
            page: The page.
            is_full_read: Whether the whole table was read.
        """
        was_old = self.registry.age_ms > version_history.MAX_VIEW_AGE_MS
        if is_full_read and was_old:
            # Entries that came and went since the last read don't show.
            self.versions.mark_incomplete()
        self.registry.mark_store_available(age_ms=page.age_ms)
        self.registry.mark_read_up_to(page.end)
        records = [
            registry.Record(r.key, r.offset, r.value, r.is_unreadable)
            for r in page.records
        ]
        if is_full_read:
            self.registry.apply_all(records, page.end)
        else:
            self.registry.apply(records)
        if was_old:
            # Others were told nothing for sure while the view was old.
            self.versions.on_change()

    def apply_notice(
        self, endpoint: resources.Endpoint, notice: notices.Notice
    ) -> None:
        """Applies what an endpoint said in an answer."""
        if notice.load is not None:
            self.loads.record(endpoint.name, notice.load)
        self.backpressure.apply_notice(endpoint, notice)

    def _record_versions(self, endpoints: Sequence[resources.Endpoint]) -> None:
        self.versions.set_endpoints([*endpoints, *self.registry.registered()])

    def _drop_unregistered(
        self, endpoints: Sequence[resources.Endpoint]
    ) -> None:
        self.loads.retain(self.registry.names)
