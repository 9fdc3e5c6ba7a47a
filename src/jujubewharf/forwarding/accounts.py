"""Client accounts of a routing configuration: keys, priorities and quotas."""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses
import enum
import math

from jujubewharf import bearer
from jujubewharf import errors
from jujubewharf.forwarding import calls

# Default burst, in seconds of the rate, for quotas without a declared burst.
_DEFAULT_BURST_S = 0.5
# Quotas beyond it limit nobody; sums of larger numbers may become infinite.
_MAX_UNITS = 1e21


class QuotaUnit(enum.Enum):
    """Unit in which a quota is measured."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@dataclasses.dataclass(frozen=True, slots=True)
class Quota:
    """Rate limit of one account, shared by all instances.

    Attributes:
        rate_per_s: Units replenished per second.
        burst: Maximum number of unused units that accumulate.
        unit: Unit in which requests are counted.
        unsized_tokens: Tokens charged for a request that does not state its
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
        """Builds a quota from operator settings.

        A missing, non-positive, non-finite or enormous rate means no limit, so
        that one bad value does not invalidate the whole configuration. A rate
        without a burst gets a burst of half a second at that rate, because an
        account without any burst could not even send requests at a steady rate.

        Returns:
            The quota, or ``None`` if there is no limit.
        """
        if not 0.0 < rate_per_s <= _MAX_UNITS:
            return None
        if not math.isfinite(burst) or burst <= 0.0:
            burst = rate_per_s * _DEFAULT_BURST_S
        if not math.isfinite(unsized_tokens):
            unsized_tokens = 1.0
        return cls(
            rate_per_s=rate_per_s,
            burst=min(burst, _MAX_UNITS),
            unit=QuotaUnit.TOKENS if counts_tokens else QuotaUnit.REQUESTS,
            unsized_tokens=min(max(0.0, unsized_tokens), _MAX_UNITS),
        )

    def units_of(self, work: calls.ModelWork | None) -> float:
        """Returns the number of units that a request is charged."""
        match self.unit:
            case QuotaUnit.REQUESTS:
                return 1.0
            case QuotaUnit.TOKENS if work is None:
                return self.unsized_tokens
            case QuotaUnit.TOKENS:
                return float(work.prompt_tokens + work.output_tokens)

    def scaled(self, part: float) -> Quota:
        """Returns the quota scaled by a factor, for one instance of several."""
        return dataclasses.replace(
            self, rate_per_s=self.rate_per_s * part, burst=self.burst * part
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """A client account.

    Attributes:
        name: Unique name, sent to endpoints.
        key_digests: Hex SHA-256 digests of the account's keys.
        priority: Priority of its requests, 0 is the highest; ``None`` to use
            the priority of the route.
        quota: Rate limit; ``None`` for no limit.
    """

    name: str
    key_digests: tuple[str, ...]
    priority: int | None = None
    quota: Quota | None = None


class AccountTable:
    """Looks up the accounts of one configuration by key.

    Args:
        accounts: The accounts; ``None`` if callers need no key.

    Attributes:
        is_open: Whether callers need no key.
        by_name: The accounts by name.
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
        """Returns the account that a caller's key belongs to.

        Args:
            authorizations: Values of the request's ``Authorization`` headers.

        Raises:
            WharfError: ``UNAUTHENTICATED`` if no account has the key.
        """
        account = self._by_key.find(bearer.parse_token(authorizations))
        if account is None:
            raise errors.WharfError(
                errors.ErrorKind.UNAUTHENTICATED, "unknown token"
            )
        return account
