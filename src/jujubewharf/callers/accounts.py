"""Client accounts: who calls, and what the caller may ask for."""

from __future__ import annotations

import hashlib
import hmac
from typing import TYPE_CHECKING

from jujubewharf import errors
from jujubewharf.configuration import resources

if TYPE_CHECKING:
    from collections.abc import Mapping

    from jujubewharf.configuration import state as states

_SCHEME = "bearer"
ANONYMOUS = ""


class Accounts:
    """The accounts in force, found by token.

    While no account is configured every caller is anonymous and may call
    everything; from the first account on, a token is needed.
    """

    def __init__(self) -> None:
        self._by_digest: dict[str, resources.Account] = {}
        self._by_name: dict[str, resources.Account] = {}

    def on_configuration(self, state: states.State) -> None:
        """Takes over the accounts of a configuration."""
        accounts = [
            entry.resource
            for entry in state.of_kind(resources.Kind.ACCOUNT)
            if isinstance(entry.resource, resources.Account)
        ]
        self._by_digest = {
            account.token_sha256.lower(): account for account in accounts
        }
        self._by_name = {account.name: account for account in accounts}

    def get(self, name: str) -> resources.Account | None:
        """One account in force."""
        return self._by_name.get(name)

    def identify(self, headers: Mapping[str, str]) -> resources.Account | None:
        """The caller's account; ``None`` for an anonymous caller.

        The token itself is never compared: its digest is looked up, and a
        digest can't be steered byte by byte by who doesn't know the token.
        The last comparison takes the same time for every digest.

        Raises:
            WharfError: ``UNAUTHENTICATED``.
        """
        if not self._by_digest:
            return None
        token = _token(headers)
        digest = hashlib.sha256(token.encode()).hexdigest()
        account = self._by_digest.get(digest)
        stored = account.token_sha256.lower() if account else ""
        if account is None or not hmac.compare_digest(stored, digest):
            raise errors.WharfError(errors.ErrorKind.UNAUTHENTICATED)
        return account


def check_service(
    account: resources.Account | None, service: resources.Service
) -> None:
    """Refuses an account that may not call a service.

    Raises:
        WharfError: ``FORBIDDEN``.
    """
    if account is None or not account.services:
        return
    if service.name not in account.services:
        raise errors.WharfError(errors.ErrorKind.FORBIDDEN, service.name)


def capped_priority(account: resources.Account | None, asked: int) -> int:
    """The priority asked for, up to what the account may have."""
    return asked if account is None else min(asked, account.priority)


def name_of(account: resources.Account | None) -> str:
    """The account's name, as requests carry it."""
    return ANONYMOUS if account is None else account.name


def _token(headers: Mapping[str, str]) -> str:
    scheme, _, token = headers.get("Authorization", "").partition(" ")
    if scheme.lower() != _SCHEME or not token.strip():
        raise errors.WharfError(errors.ErrorKind.UNAUTHENTICATED)
    return token.strip()
