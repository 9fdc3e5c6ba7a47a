"""Status of the answering instance and its view of the engines."""

from __future__ import annotations

import collections
from collections.abc import Iterator
import dataclasses

import structlog

from jujubewharf import core as cores
from jujubewharf import errors
from jujubewharf.configuration import resources
from jujubewharf.operators import backend as backends
from jujubewharf.operators import identities
from jujubewharf.operators import values
from jujubewharf.routing import fleet as fleets
from jujubewharf.telemetry import counter_totals


class Inspector:
    """Reports the status of the instance.

    Args:
        core: Core of the instance.
        backend: Configuration of the instance.
    """

    def __init__(
        self, core: cores.EntryCore, backend: backends.Backend
    ) -> None:
        self._core = core
        self._backend = backend
        self._logger = structlog.get_logger()

    def status(self) -> values.InstanceStatus:
        """Returns the status of the instance."""
        settings = self._core.settings
        state = self._backend.state
        follower = self._core.configuration
        counts = self._core.runner.counts
        return values.InstanceStatus(
            instance=settings.instance,
            region=settings.region,
            domain=settings.domain,
            applied_offset=state.next_offset,
            is_caught_up=self._backend.is_caught_up,
            requests_in_flight=self._requests_in_flight(),
            refusals=_reason_counts("callers.refusals", counts.refused),
            retries=_reason_counts("requests.retries", counts.retries),
            members=tuple(self._members()),
            resources=tuple(
                values.ReasonCount(kind.value, len(state.of_kind(kind)))
                for kind in resources.Kind
            ),
            is_frozen=follower.is_frozen,
            is_log_behind=follower.is_log_behind,
            log_silence_ms=follower.log_silence_ms,
        )

    def accept_loss(self, identity: values.Identity) -> values.InstanceStatus:
        """Lets the instance continue without records that the log has lost.

        Raises:
            WharfError: ``FORBIDDEN`` unless the caller is an admin of all
                services.
        """
        admin = resources.OperatorRole.ADMIN
        if identity.services or not identities.has_role(identity, admin):
            detail = f"{identity.name} may not accept a loss"
            raise errors.WharfError(errors.ErrorKind.FORBIDDEN, detail)
        self._logger.warning("loss_accepted", actor=identity.name)
        self._core.configuration.accept_loss()
        return self.status()

    def engines(
        self, identity: values.Identity, service: str = ""
    ) -> tuple[values.EngineStatus, ...]:
        """Returns the engines as seen by this instance, sorted by name.

        Args:
            identity: Identity of the caller; limits the engines to its scope.
            service: Service to select engines by; empty selects all.
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

    def _requests_in_flight(self) -> int:
        core = self._core
        return sum(
            core.model_limits.in_flight(entry.resource.name)
            + core.plain_limits.in_flight(entry.resource.name)
            for entry in self._backend.state.of_kind(resources.Kind.SERVICE)
        )

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
        report, received_ms = view.report, view.report_received_ms
        if report is None or received_ms is None:
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
            report_age_ms=self._core.clock.now_ms() - received_ms,
        )


def _reason_counts(
    instrument: str, of_models: collections.Counter[str]
) -> tuple[values.ReasonCount, ...]:
    """Returns counts by reason, sorted by reason.

    Args:
        instrument: Metric instrument to read the counts from.
        of_models: Counts of model requests, used when metrics are off.
    """
    found = counter_totals.by_reason(instrument)
    counter = of_models if found is None else found
    return tuple(
        values.ReasonCount(reason, counter[reason])
        for reason in sorted(counter)
    )
