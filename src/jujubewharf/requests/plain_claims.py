"""Claims of plain calls, whose answers can't be relayed while they run."""

from __future__ import annotations

from jujubewharf import errors
from jujubewharf.requests import claims as request_claims
from jujubewharf.requests import keys


class ClaimLostError(errors.WharfError):
    """Another call holds the key.

    Args:
        claim: The claim that holds the key.
    """

    def __init__(self, claim: request_claims.Claim) -> None:
        super().__init__(errors.ErrorKind.CLAIM_LOST)
        self.owner = claim.owner
        self.request_id = claim.request_id


class PlainClaims:
    """Claims for plain calls, whose answers can't be relayed while running.

    Args:
        claims: Claims of this instance.
    """

    def __init__(self, claims: request_claims.Claims) -> None:
        self._claims = claims

    async def claim(
        self,
        key: str,
        request_id: str,
        body_digest: str,
        *,
        account: str = "",
    ) -> None:
        """Claims a key for one call.

        Raises:
            WharfError: The call must not be sent. ``ClaimLostError`` when
                another call with the same body holds the key.
        """
        created_ms = self._claims.check_age(key)
        body = keys.body_of(body_digest)
        claim = await self._claims.claim(
            keys.key_of(f"plain/{account}", key),
            request_id,
            body,
            created_ms=created_ms,
        )
        if claim.is_won:
            return
        if claim.body != body:
            raise errors.WharfError(
                errors.ErrorKind.KEY_CONFLICT, ran=errors.Ran.NO
            )
        raise ClaimLostError(claim)

    def abandon(self, request_id: str) -> None:
        """Records that a call was not and will not be sent."""
        self._claims.abandon(request_id)
