"""Validation of changes before they are appended to the log."""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Sequence
import re
from typing import Any

import result

from jujubewharf.configuration import records
from jujubewharf.configuration import resource_codec
from jujubewharf.configuration import resources
from jujubewharf.configuration import state as states

MAX_CHANGES = 500
_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")
_ADDRESS_PATTERN = re.compile(
    r"(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}"
)
_TOKEN_PATTERN = re.compile(r"[0-9a-f]{64}")


def check(state: states.State, changes: Sequence[records.Change]) -> list[str]:
    """Finds all errors in a batch of changes.

    Returns:
        One line for each error, starting with the index of the change and the
        path of the field; empty if all changes are valid.
    """
    if len(changes) > MAX_CHANGES:
        return [f"changes: at most {MAX_CHANGES} at once"]
    return [line for lines in check_each(state, changes) for line in lines]


def check_each(
    state: states.State, changes: Sequence[records.Change]
) -> Iterator[list[str]]:
    """Finds all errors in any number of changes.

    Yields:
        The errors of each change, so that callers can pause in between.
    """
    return _Checker(state).check(changes)


class _Checker:
    """Checks changes in order; later ones may refer to earlier ones."""

    def __init__(self, state: states.State) -> None:
        self._state = state
        self._added_keys: set[states.Key] = set()
        self._operation_ids: set[str] = set()

    def check(self, changes: Sequence[records.Change]) -> Iterator[list[str]]:
        for index, change in enumerate(changes):
            yield [
                f"changes[{index}].{error}" for error in self._check_one(change)
            ]

    def _check_one(self, change: records.Change) -> Iterator[str]:
        if not change.operation_id:
            yield "operation_id: missing"
        elif change.operation_id in self._operation_ids:
            yield f"operation_id: {change.operation_id} stands here twice"
        self._operation_ids.add(change.operation_id)
        if len(records.encode(change)) > records.MAX_RECORD_BYTES:
            yield f"body: over {records.MAX_RECORD_BYTES} bytes"
        if change.verb is records.Verb.RULES:
            return
        if change.kind not in resources.Kind._value2member_map_:
            yield f"kind: {change.kind!r} is unknown"
            return
        if not _NAME_PATTERN.fullmatch(change.name):
            yield f"name: {change.name!r} is no name ({_NAME_PATTERN.pattern})"
        if change.verb is records.Verb.PUT:
            kind = resources.Kind(change.kind)
            yield from self._check_body(kind, change)

    def _check_body(
        self, kind: resources.Kind, change: records.Change
    ) -> Iterator[str]:
        parsed = resource_codec.parse(
            kind, self._without_stored_extra(kind, change)
        )
        if isinstance(parsed, result.Err):
            for error in parsed.err_value:
                yield f"body.{error}"
            return
        resource = parsed.ok_value
        if resource.name != change.name:
            yield f"body.name: {resource.name!r} is not {change.name!r}"
        for error in self._check_resource(resource):
            yield f"body.{error}"
        self._added_keys.add((kind, change.name))

    def _without_stored_extra(
        self, kind: resources.Kind, change: records.Change
    ) -> dict[str, Any]:
        """Returns the body without unknown fields that are in force already.

        Fields of a newer version may be preserved in a change, but not added
        or modified.
        """
        current = self._state.get(kind, change.name)
        decoded = resource_codec.decode_body(kind, change.body)
        if current is None or not current.extra_packed or decoded.is_err():
            return change.body
        decoded_body = decoded.unwrap()
        if records.pack_body(decoded_body.extra) != current.extra_packed:
            return change.body
        return resource_codec.dump(decoded_body.resource)

    def _check_resource(self, resource: resources.Resource) -> Iterator[str]:
        match resource:
            case resources.Service():
                yield from self._check_service(resource)
            case resources.Endpoint():
                yield from self._check_endpoint(resource)
            case resources.Model():
                yield from _check_positive(resource, "kv_bytes_per_token")
                yield from _check_positive(resource, "weight_bytes")
            case resources.Account():
                yield from self._check_token(resource)
                yield from self._check_services(resource.services)
                yield from _check_positive(resource, "rate_per_s")
                yield from _check_positive(resource, "max_in_flight")
                if resource.priority < 0:
                    yield "priority: below 0"
            case resources.Operator():
                yield from self._check_token(resource)
                yield from self._check_services(resource.services)

    def _check_service(self, service: resources.Service) -> Iterator[str]:
        if service.kind is resources.ServiceKind.MODEL and not service.model:
            yield "model: a model service needs one"
        if service.kind is resources.ServiceKind.PLAIN and service.model:
            yield "model: a plain service has none"
        for name in (
            "first_answer_target_ms",
            "completion_target_ms",
            "deadline_ms",
            "max_in_flight",
        ):
            yield from _check_positive(service, name)
        if service.max_queued < 0:
            yield "max_queued: below 0"
        if service.retry_ratio < 0:
            yield "retry_ratio: below 0"
        if not 0 <= service.waste_weight <= 1:
            yield "waste_weight: not from 0 to 1"

    def _check_endpoint(self, endpoint: resources.Endpoint) -> Iterator[str]:
        if not _ADDRESS_PATTERN.fullmatch(endpoint.address):
            yield f"address: {endpoint.address!r} is not IP:PORT"
        if not endpoint.domain:
            yield "domain: missing"
        if not self._is_known(resources.Kind.SERVICE, endpoint.service):
            yield f"service: {endpoint.service!r} is unknown"
        yield from _check_positive(endpoint, "slots")
        yield from _check_positive(endpoint, "link_bytes_per_s")

    def _check_token(
        self, owner: resources.Account | resources.Operator
    ) -> Iterator[str]:
        # The value is omitted, as it may be the secret token itself.
        if not _TOKEN_PATTERN.fullmatch(owner.token_sha256):
            yield "token_sha256: not 64 lower-case hex digits"

    def _check_services(self, services: Sequence[str]) -> Iterator[str]:
        for name in services:
            if not self._is_known(resources.Kind.SERVICE, name):
                yield f"services: {name!r} is unknown"

    def _is_known(self, kind: resources.Kind, name: str) -> bool:
        return (kind, name) in self._added_keys or (
            self._state.get(kind, name) is not None
        )


def _check_positive(resource: resources.Resource, field: str) -> Iterator[str]:
    if getattr(resource, field) <= 0:
        yield f"{field}: not above 0"
