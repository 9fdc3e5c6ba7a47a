"""Messages about quotas between a leader and its followers; 90 to 99."""

from __future__ import annotations

import dataclasses

from jujubewharf.peers import messages


@dataclasses.dataclass(frozen=True, slots=True)
class AccountUsage:
    """Quota used by one account at one instance since the last report.

    Attributes:
        account: Name of the account.
        units: Used quota units; negative if more were refunded.
    """

    account: str
    units: float


@messages.message(90)
@dataclasses.dataclass(frozen=True, slots=True)
class UsageReport(messages.Message):
    """A follower reports the quota used by requests that it admitted."""

    uses: tuple[AccountUsage, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class AccountQuota:
    """Remaining quota of one account.

    Attributes:
        account: Name of the account.
        units: Units remaining across all instances; negative if overdrawn.
    """

    account: str
    units: float


@messages.message(91)
@dataclasses.dataclass(frozen=True, slots=True)
class LowAccounts(messages.Message):
    """The leader lists the accounts that are low on quota.

    Accounts that are not listed have enough.
    """

    accounts: tuple[AccountQuota, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class UsageShare:
    """A follower's share of the use of one account.

    Attributes:
        account: Name of the account.
        part: Share of the account's use at the follower, 0 to 1.
    """

    account: str
    part: float


@messages.message(92)
@dataclasses.dataclass(frozen=True, slots=True)
class UsageShares(messages.Message):
    """The leader informs a follower of its share of each account's use.

    Accounts that are not listed were not used there recently.
    """

    shares: tuple[UsageShare, ...]

    @classmethod
    def from_shares(cls, shares: dict[str, float]) -> UsageShares:
        """Creates the message from shares by account."""
        return cls(tuple(UsageShare(*item) for item in shares.items()))

    @property
    def by_account(self) -> dict[str, float]:
        """Shares by account."""
        return {share.account: share.part for share in self.shares}
