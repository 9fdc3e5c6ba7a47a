"""Client accounts: who calls, and what the caller may ask for."""

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
    """The accounts in force, found by token.

    While no account is configured every caller is anonymous and may call
    everything; from the first account on, a token is needed.
    """

    def __init__(self) -> None:
        self._by_token: bearer.DigestTable[resources.Account]
        self._by_token = bearer.DigestTable(())
        self._by_name: dict[str, resources.Account] = {}

    def on_configuration(self, state: states.State) -> None:
        """Takes over the accounts of a configuration."""
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
        """One account in force."""
        return self._by_name.get(name)

    def identify(self, headers: Mapping[str, str]) -> resources.Account | None:
        """The caller's account; ``None`` for an anonymous caller.

        Raises:
            WharfError: ``UNAUTHENTICATED``.
        """
        if not self._by_name:
            return None
        given = headers.get(bearer.HEADER)
        account = None
        with contextlib.suppress(errors.WharfError):
            # Callers here are told one thing for every token that isn't taken.
            token = bearer.token_of(() if given is None else (given,))
            account = self._by_token.find(token)
        if account is None:
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
