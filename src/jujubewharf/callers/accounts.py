"""Client accounts: authentication and authorization of callers."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

from jujubewharf import bearer
from jujubewharf import errors
from jujubewharf.configuration import resources

if TYPE_CHECKING:
    from collections.abc import Mapping

    from jujubewharf.configuration import state as states

ANONYMOUS = ""


class Accounts:
    """Looks up configured client accounts by bearer token.

    As long as no account is configured, every caller is anonymous and may
    call every service. Otherwise a token is required.
    """

    def __init__(self) -> None:
        self._by_token: bearer.DigestTable[resources.Account]
        self._by_token = bearer.DigestTable(())
        self._by_name: dict[str, resources.Account] = {}

    def on_configuration(self, state: states.State) -> None:
        """Replaces the accounts by those of a new configuration."""
        accounts = [
            entry.resource
            for entry in state.of_kind(resources.Kind.ACCOUNT)
            if isinstance(entry.resource, resources.Account)
        ]
        self._by_token = bearer.DigestTable(
            (account.token_sha256, account) for account in accounts
        )
        self._by_name = {account.name: account for account in accounts}

    def get(self, name: str) -> resources.Account | None:
        """Returns the account of a name, if it is configured."""
        return self._by_name.get(name)

    def identify(self, headers: Mapping[str, str]) -> resources.Account | None:
        """Authenticates a caller by the request headers.

        Returns:
            The caller's account; ``None`` for an anonymous caller.

        Raises:
            WharfError: ``UNAUTHENTICATED`` for a missing or unknown token.
        """
        if not self._by_name:
            return None
        given = headers.get(bearer.HEADER)
        account = None
        with contextlib.suppress(errors.WharfError):
            # Callers get the same error for missing, malformed and unknown
            # tokens.
            token = bearer.parse_token(() if given is None else (given,))
            account = self._by_token.find(token)
        if account is None:
            raise errors.WharfError(errors.ErrorKind.UNAUTHENTICATED)
        return account


def check_service(
    account: resources.Account | None, service: resources.Service
) -> None:
    """Checks that an account may call a service.

    Raises:
        WharfError: ``FORBIDDEN`` if it may not.
    """
    if account is None or not account.services:
        return
    if service.name not in account.services:
        raise errors.WharfError(errors.ErrorKind.FORBIDDEN, service.name)


def capped_priority(account: resources.Account | None, asked: int) -> int:
    """Limits a requested priority to the maximum of the account."""
    return asked if account is None else min(asked, account.priority)


def account_name(account: resources.Account | None) -> str:
    """Returns the account's name; ``ANONYMOUS`` without an account."""
    return ANONYMOUS if account is None else account.name
