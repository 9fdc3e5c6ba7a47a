"""Rules that decide whether a change is accepted in a given state.

The rules are versioned, and the version in force is part of the state. A
record in the log raises it, so that new rules take effect for all instances at
the same offset. With rules version N, all instances evaluate a body by the
fields of schema N and preserve other fields unread. Otherwise instances of
different versions could reach different verdicts and their states would
diverge.
"""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses

import result

from jujubewharf.configuration import entries as entries_lib
from jujubewharf.configuration import records
from jujubewharf.configuration import resource_codec
from jujubewharf.configuration import resources
from jujubewharf.configuration import verdicts

FIRST_VERSION = 1
NEWEST_VERSION = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Rejection:
    """Reason why a change is rejected."""

    outcome: verdicts.Outcome
    detail: str


Evaluation = result.Result[resource_codec.DecodedBody | None, Rejection]


def evaluate(
    entries: entries_lib.Entries,
    kind: resources.Kind,
    change: records.Change,
) -> Evaluation:
    """Checks the generation, the body and the safety of a change, in order.

    Returns:
        The decoded body to store, ``None`` for a delete, or the reason why
        the change is rejected.
    """
    current = entries.get((kind, change.name))
    generation = current.generation if current else 0
    expected = change.expected_generation
    if expected is not None and expected != generation:
        detail = f"generation is {generation}, not {expected}"
        return _reject(verdicts.Outcome.CONFLICT, detail)
    if change.verb is records.Verb.DELETE:
        return _evaluate_delete(entries, kind, change)
    return _evaluate_put(entries, kind, change)


def _evaluate_delete(
    entries: entries_lib.Entries, kind: resources.Kind, change: records.Change
) -> Evaluation:
    current = entries.get((kind, change.name))
    if current is None or change.force:
        return result.Ok(None)
    reason = _unsafe_reason(entries, current.resource, None)
    if reason:
        return _reject(verdicts.Outcome.UNSAFE, reason)
    return result.Ok(None)


def _evaluate_put(
    entries: entries_lib.Entries, kind: resources.Kind, change: records.Change
) -> Evaluation:
    decoded = resource_codec.decode_body(kind, change.body)
    if isinstance(decoded, result.Err):
        detail = "; ".join(decoded.err_value)
        return _reject(verdicts.Outcome.INVALID, detail)
    decoded_body = decoded.ok_value
    invalid = _invalid_reason(entries, kind, change.name, decoded_body.resource)
    if invalid:
        return _reject(verdicts.Outcome.INVALID, invalid)
    current = entries.get((kind, change.name))
    if current is not None and not change.force:
        reason = _unsafe_reason(
            entries, current.resource, decoded_body.resource
        )
        if reason:
            return _reject(verdicts.Outcome.UNSAFE, reason)
    return result.Ok(decoded_body)


def _reject(outcome: verdicts.Outcome, detail: str) -> result.Err[Rejection]:
    return result.Err(Rejection(outcome, detail))


def _invalid_reason(
    entries: entries_lib.Entries,
    kind: resources.Kind,
    name: str,
    resource: resources.Resource,
) -> str:
    if resource.name != name:
        return f"name: the body says {resource.name!r}, the change {name!r}"
    if isinstance(resource, resources.Account | resources.Operator):
        owner = entries.find_token_owner(kind, resource.token_sha256)
        if owner is not None and owner != name:
            return f"token_sha256: already the token of {owner}"
    return ""


def _unsafe_reason(
    entries: entries_lib.Entries,
    before: resources.Resource,
    after: resources.Resource | None,
) -> str:
    """Returns why a change is unsafe, or an empty string.

    The check runs when the record is applied. Checked only on submission, two
    concurrent changes that each drain one of the last two engines would both
    pass and leave none.
    """
    match before:
        case resources.Endpoint():
            assert after is None or isinstance(after, resources.Endpoint)
            return _unsafe_endpoint_reason(entries, before, after)
        case resources.Service():
            assert after is None or isinstance(after, resources.Service)
            return _unsafe_service_reason(entries, before, after)
        case resources.Model():
            return (
                _unsafe_model_reason(entries, before) if after is None else ""
            )
        case resources.Operator():
            assert after is None or isinstance(after, resources.Operator)
            return _unsafe_operator_reason(entries, before, after)
        case _:
            return ""


def _unsafe_endpoint_reason(
    entries: entries_lib.Entries,
    before: resources.Endpoint,
    after: resources.Endpoint | None,
) -> str:
    current = entries.get((resources.Kind.SERVICE, before.service))
    if current is None or not isinstance(current.resource, resources.Service):
        return ""
    service = current.resource
    is_kept = after is not None and after.service == service.name
    kept_jobs = (
        _covered_jobs(service, [after])
        if is_kept and after is not None
        else set()
    )
    lost_jobs = _covered_jobs(service, [before]) - kept_jobs
    # Most changes remove no job, and need no scan of the other endpoints.
    for endpoint in entries.endpoints_of(service.name) if lost_jobs else ():
        if endpoint.name != before.name:
            lost_jobs -= _covered_jobs(service, [endpoint])
        if not lost_jobs:
            break
    return _lost_jobs_reason(service.name, lost_jobs)


def _unsafe_service_reason(
    entries: entries_lib.Entries,
    before: resources.Service,
    after: resources.Service | None,
) -> str:
    endpoints = entries.endpoints_of(before.name)
    if after is None:
        users = [f"endpoint {endpoint.name}" for endpoint in endpoints[:1]]
        users += _users_of_service(entries, before.name)
        return f"service {before.name} is used by {users[0]}" if users else ""
    lost_jobs = _covered_jobs(before, endpoints) - _covered_jobs(
        after, endpoints
    )
    return _lost_jobs_reason(before.name, lost_jobs)


def _users_of_service(entries: entries_lib.Entries, name: str) -> list[str]:
    users = []
    for kind in (resources.Kind.ACCOUNT, resources.Kind.OPERATOR):
        for entry in entries.of_kind(kind):
            match entry.resource:
                case (
                    resources.Account(services=services)
                    | resources.Operator(services=services)
                ) if name in services:
                    users.append(f"{kind.value} {entry.resource.name}")
    return users


def _unsafe_model_reason(
    entries: entries_lib.Entries, before: resources.Model
) -> str:
    for kind in (resources.Kind.SERVICE, resources.Kind.ENDPOINT):
        for entry in entries.of_kind(kind):
            match entry.resource:
                case (
                    resources.Service(model=model)
                    | resources.Endpoint(model=model)
                ) if model == before.name:
                    user = f"{kind.value} {entry.resource.name}"
                    return f"model {model} is used by {user}"
    return ""


def _unsafe_operator_reason(
    entries: entries_lib.Entries,
    before: resources.Operator,
    after: resources.Operator | None,
) -> str:
    admin = resources.OperatorRole.ADMIN
    if before.role is not admin or (after and after.role is admin):
        return ""
    for entry in entries.of_kind(resources.Kind.OPERATOR):
        other = entry.resource
        assert isinstance(other, resources.Operator)
        if other.name != before.name and other.role is admin:
            return ""
    return f"operator {before.name} is the last admin"


def _covered_jobs(
    service: resources.Service, endpoints: Iterable[resources.Endpoint]
) -> set[str]:
    """Returns the jobs for which a service has a suitable endpoint."""
    jobs: set[str] = set()
    for endpoint in endpoints:
        if endpoint.drained or not _is_suitable(service, endpoint):
            continue
        if service.kind is resources.ServiceKind.PLAIN:
            jobs.add("plain")
            continue
        if endpoint.can_prefill:
            jobs.add("prefill")
        if endpoint.can_decode:
            jobs.add("decode")
    return jobs


def _is_suitable(
    service: resources.Service, endpoint: resources.Endpoint
) -> bool:
    is_plain = service.kind is resources.ServiceKind.PLAIN
    if is_plain != (endpoint.role is resources.Role.PLAIN):
        return False
    return endpoint.model in ("", service.model) or not service.model


def _lost_jobs_reason(service: str, jobs: set[str]) -> str:
    if not jobs:
        return ""
    job_names = " and ".join(sorted(jobs))
    return f"service {service} would have no endpoint left for {job_names}"
