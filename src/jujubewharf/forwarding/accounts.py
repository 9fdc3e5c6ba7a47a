"""Client accounts of a routing configuration: keys, priority and quota."""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses
import enum
import math

from jujubewharf import bearer
from jujubewharf import errors
from jujubewharf.forwarding import calls

# Stock of an account for which a rate is declared and no burst.
_UNDECLARED_BURST_S = 0.5


class QuotaUnit(enum.Enum):
    """What a quota counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@dataclasses.dataclass(frozen=True, slots=True)
class Quota:
    """What one account may use, over all instances together.

    Attributes:
        rate_per_s: Units that it gains each second.
        burst: Units that it may have saved up.
        unit: What is counted.
        unsized_tokens: Tokens that a request counts which doesn't tell its
            size.
    """

    rate_per_s: float
    burst: float
    unit: QuotaUnit = QuotaUnit.REQUESTS
    unsized_tokens: float = 1.0

    @classmethod
    def from_limits(
        cls,
        *,
        rate_per_s: float,
        burst: float,
        counts_tokens: bool,
        unsized_tokens: float,
    ) -> Quota | None:
        """A quota as operators declare it; ``None`` where it bounds nothing.

        A rate that is 0, missing or no number bounds nothing; one bad figure
        must not keep a whole configuration from being in force. With a rate
        and no burst an account may save up what it gains in half a second:
        without any stock not even a steady pace would pass.
        """
        if not math.isfinite(rate_per_s) or rate_per_s <= 0.0:
            return None
        if not math.isfinite(burst) or burst <= 0.0:
            burst = rate_per_s * _UNDECLARED_BURST_S
        return cls(
            rate_per_s=rate_per_s,
            burst=burst,
            unit=QuotaUnit.TOKENS if counts_tokens else QuotaUnit.REQUESTS,
            unsized_tokens=max(0.0, unsized_tokens),
        )

    def units_of(self, work: calls.ModelWork | None) -> float:
        """What a request counts."""
        match self.unit:
            case QuotaUnit.REQUESTS:
                return 1.0
            case QuotaUnit.TOKENS if work is None:
                return self.unsized_tokens
            case QuotaUnit.TOKENS:
                return float(work.prompt_tokens + work.output_tokens)

    def part(self, part: float) -> Quota:
        """A part of it, for one instance of several."""
        return dataclasses.replace(
            self, rate_per_s=self.rate_per_s * part, burst=self.burst * part
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """One client account.

    Attributes:
        name: Unique name; endpoints are told it.
        key_digests: Hex SHA-256 of each of its keys.
        priority: Rank of its requests, 0 first; ``None`` leaves that to the
            route.
        quota: What it may use; ``None`` for no bound.
    """

    name: str
    key_digests: tuple[str, ...]
    priority: int | None = None
    quota: Quota | None = None


class AccountTable:
    """The accounts of one configuration, found by key.

    Args:
        accounts: The accounts; ``None`` where callers need no key.

    Attributes:
        is_open: Whether callers need no key.
    """

    def __init__(self, accounts: Sequence[Account] | None) -> None:
        self.is_open = accounts is None
        self.by_name = {account.name: account for account in accounts or ()}
        self._by_key = bearer.DigestTable(
            (digest, account)
            for account in self.by_name.values()
            for digest in account.key_digests
        )

    def identify(self, authorizations: Sequence[str]) -> Account:
        """The account whose key a caller shows.

        Args:
            authorizations: Values of its ``Authorization`` headers.

        Raises:
            WharfError: ``UNAUTHENTICATED``.
        """
        account = self._by_key.find(bearer.token_of(authorizations))
        if account is None:
            raise errors.WharfError(
                errors.ErrorKind.UNAUTHENTICATED, "unknown token"
            )
        return account
