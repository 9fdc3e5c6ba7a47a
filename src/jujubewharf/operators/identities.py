"""Authentication and authorization of operators.

Tokens are compared by their SHA-256, in constant time and with every known
operator, so that neither a leaked configuration nor response times reveal
anything about a token.
"""

from __future__ import annotations

from collections.abc import Callable
import hmac

from jujubewharf import bearer
from jujubewharf import errors
from jujubewharf.configuration import resources
from jujubewharf.configuration import state as states
from jujubewharf.operators import values

BOOTSTRAP_NAME = "bootstrap"

_BOOTSTRAP_ADMIN = values.Identity(BOOTSTRAP_NAME, resources.OperatorRole.ADMIN)

_RANKS = {
    resources.OperatorRole.VIEWER: 0,
    resources.OperatorRole.OPERATOR: 1,
    resources.OperatorRole.ADMIN: 2,
}


class Identities:
    """Looks up the identity that a token belongs to.

    Args:
        state: Returns the current configuration.
        bootstrap_token_sha256: Hex SHA-256 of the token of the built-in
            admin; empty disables this admin.
    """

    def __init__(
        self,
        state: Callable[[], states.State],
        bootstrap_token_sha256: str,
    ) -> None:
        self._state = state
        self._bootstrap_sha256 = bootstrap_token_sha256.lower()

    def authenticate(self, token: str) -> values.Identity:
        """Returns the identity that a token belongs to.

        Raises:
            WharfError: ``UNAUTHENTICATED`` if no identity has this token.
        """
        digest = bearer.token_digest(token).encode()
        found: values.Identity | None = None
        # No early exit, so that timing does not reveal which digest matched.
        if self._bootstrap_sha256 and _digests_equal(
            self._bootstrap_sha256, digest
        ):
            found = _BOOTSTRAP_ADMIN
        for entry in self._state().of_kind(resources.Kind.OPERATOR):
            operator = entry.resource
            assert isinstance(operator, resources.Operator)
            if _digests_equal(operator.token_sha256.lower(), digest):
                found = found or _identity(operator)
        if not token or found is None:
            raise errors.WharfError(errors.ErrorKind.UNAUTHENTICATED)
        return found


def may_see(identity: values.Identity, resource: resources.Resource) -> bool:
    """Returns whether an identity may read a resource."""
    match resource:
        case resources.Model():
            return True
        case resources.Operator():
            return _is_admin(identity) and _in_scope(identity, resource)
        case _:
            return _in_scope(identity, resource)


def may_change(identity: values.Identity, resource: resources.Resource) -> bool:
    """Returns whether an identity may create, change or delete a resource."""
    match resource:
        case resources.Operator():
            needed = resources.OperatorRole.ADMIN
        case _:
            needed = resources.OperatorRole.OPERATOR
    if not has_role(identity, needed):
        return False
    return _in_scope(identity, resource)


def has_role(identity: values.Identity, role: resources.OperatorRole) -> bool:
    """Returns whether an identity has at least the given role."""
    return _RANKS[identity.role] >= _RANKS[role]


def _is_admin(identity: values.Identity) -> bool:
    return has_role(identity, resources.OperatorRole.ADMIN)


def _in_scope(identity: values.Identity, resource: resources.Resource) -> bool:
    if not identity.services:
        return True
    match resource:
        case resources.Service(name=name):
            return name in identity.services
        case resources.Endpoint(service=service):
            return service in identity.services
        case resources.Account(services=services):
            return _is_subset(services, identity)
        case resources.Operator(services=services):
            return _is_subset(services, identity)
        case resources.Model():
            return False


def _is_subset(services: tuple[str, ...], identity: values.Identity) -> bool:
    # An empty tuple means all services, which exceeds any limited scope.
    return bool(services) and set(services) <= set(identity.services)


def _digests_equal(held: str, digest: bytes) -> bool:
    return hmac.compare_digest(held.encode(), digest)


def _identity(operator: resources.Operator) -> values.Identity:
    return values.Identity(operator.name, operator.role, operator.services)
