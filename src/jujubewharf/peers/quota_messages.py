"""Messages about the use of accounts between a leader and its followers.

Numbers 90 to 99.
"""

from __future__ import annotations

import dataclasses

from jujubewharf.peers import messages


@dataclasses.dataclass(frozen=True, slots=True)
class AccountUse:
    """What one account has used at one instance since it was told last.

    Attributes:
        account: Name of the account.
        units: What it has used; below 0 where more was given back.
    """

    account: str
    units: float


@messages.message(90)
@dataclasses.dataclass(frozen=True, slots=True)
class AccountsUsed(messages.Message):
    """A follower tells what it has admitted by itself."""

    uses: tuple[AccountUse, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class AccountLeft:
    """What one account may still use.

    Attributes:
        account: Name of the account.
        units: What is left over all instances; below 0 in debt.
    """

    account: str
    units: float


@messages.message(91)
@dataclasses.dataclass(frozen=True, slots=True)
class AccountsLeft(messages.Message):
    """The leader tells which accounts have little left; all others have."""

    accounts: tuple[AccountLeft, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class AccountPart:
    """Which part of one account's use comes to a follower.

    Attributes:
        account: Name of the account.
        part: The part, 0 to 1.
    """

    account: str
    part: float


@messages.message(92)
@dataclasses.dataclass(frozen=True, slots=True)
class AccountParts(messages.Message):
    """The leader tells which part of accounts' use comes to a follower.

    An account that isn't named hasn't been used there lately.
    """

    parts: tuple[AccountPart, ...]

    @classmethod
    def from_parts(cls, parts: dict[str, float]) -> AccountParts:
        """The message for parts by account."""
        return cls(tuple(AccountPart(*item) for item in parts.items()))

    @property
    def by_account(self) -> dict[str, float]:
        """The parts by account."""
        return {told.account: told.part for told in self.parts}
