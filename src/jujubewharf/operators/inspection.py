"""What operators ask of the answering instance itself."""

from __future__ import annotations

import collections
from collections.abc import Iterator
import dataclasses
from typing import TYPE_CHECKING

from jujubewharf.configuration import resources
from jujubewharf.operators import backend as backends
from jujubewharf.operators import identities
from jujubewharf.operators import values
from jujubewharf.requests import counters as request_counters
from jujubewharf.routing import fleet as fleets

if TYPE_CHECKING:
    from jujubewharf import entry


class Inspector:
    """Tells how the instance does.

    Args:
        core: The instance.
        backend: Its configuration.
    """

    def __init__(
        self, core: entry.EntryCore, backend: backends.Backend
    ) -> None:
        self._core = core
        self._backend = backend

    def status(self) -> values.InstanceStatus:
        """The instance, its configuration and its counts."""
        settings = self._core.settings
        state = self._backend.state
        counts = self._core.runner.counts
        return values.InstanceStatus(
            instance=settings.instance,
            region=settings.region,
            domain=settings.domain,
            applied_offset=state.next_offset,
            is_caught_up=self._backend.is_caught_up,
            requests_in_flight=_in_flight(counts),
            refusals=_by_reason(counts.refused),
            retries=_by_reason(counts.retries),
            members=tuple(self._members()),
            resources=tuple(
                values.ReasonCount(kind.value, len(state.of_kind(kind)))
                for kind in resources.Kind
            ),
        )

    def engines(
        self, identity: values.Identity, service: str = ""
    ) -> tuple[values.EngineStatus, ...]:
        """Engines as the instance sees them, by name.

        Args:
            identity: Who asks; it sees those in its scope.
            service: Only engines of this service; empty takes all.
        """
        found: list[values.EngineStatus] = []
        for entry in self._backend.state.of_kind(resources.Kind.ENDPOINT):
            endpoint = entry.resource
            assert isinstance(endpoint, resources.Endpoint)
            view = self._core.fleet.view(endpoint.name)
            if view is None or service not in ("", endpoint.service):
                continue
            if identities.may_see(identity, endpoint):
                found.append(self._engine(view))
        return tuple(found)

    def _members(self) -> Iterator[values.Member]:
        membership = self._core.membership
        for member in membership.members():
            yield values.Member(
                member.instance,
                member.address,
                member.domain,
                member.is_leaving,
                membership.is_suspected(member.instance),
            )

    def _engine(self, view: fleets.EngineView) -> values.EngineStatus:
        endpoint = view.endpoint
        status = values.EngineStatus(
            name=endpoint.name,
            service=endpoint.service,
            domain=endpoint.domain,
            takes_work=view.takes_work,
            is_drained=endpoint.drained,
            is_suspect=view.is_suspect,
            own_slots=view.own_slots,
        )
        report, heard_ms = view.report, view.heard_ms
        if report is None or heard_ms is None:
            return status
        return dataclasses.replace(
            status,
            role=report.role or endpoint.role.value,
            model=report.model,
            model_version=report.model_version,
            slots_total=report.slots_total,
            slots_used=report.slots_used,
            prefill_queued_tokens=report.prefill_queued_tokens,
            decode_queued=report.decode_queued,
            report_age_ms=self._core.clock.now_ms() - heard_ms,
        )


def _in_flight(counts: request_counters.Counts) -> int:
    return counts.accepted - counts.finished - counts.refused.total()


def _by_reason(
    counter: collections.Counter[str],
) -> tuple[values.ReasonCount, ...]:
    return tuple(
        values.ReasonCount(reason, counter[reason])
        for reason in sorted(counter)
    )
