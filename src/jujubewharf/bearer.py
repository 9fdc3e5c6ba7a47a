"""Bearer tokens: parsing of headers, and lookup by digest.

Only digests are stored and compared, so that neither a leaked configuration
nor the response time reveals anything about a token.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Sequence
import hashlib
import hmac
from typing import Generic
from typing import TypeVar

from jujubewharf import errors

HEADER = "Authorization"
_SCHEME = "bearer"

T = TypeVar("T")


def token_digest(token: str) -> str:
    """Returns the hexadecimal SHA-256 of a token.

    Header bytes that are not UTF-8 arrive as lone surrogates. They are encoded
    back to the original bytes, so that such a token is unknown rather than an
    internal error.
    """
    raw = token.encode("utf-8", "surrogateescape")
    return hashlib.sha256(raw).hexdigest()


def parse_token(values: Sequence[str]) -> str:
    """Parses the token of a request.

    Args:
        values: Values of all ``Authorization`` headers of the request.

    Raises:
        WharfError: ``UNAUTHENTICATED`` unless there is exactly one header
            with a bearer token.
    """
    if len(values) != 1:
        raise errors.WharfError(
            errors.ErrorKind.UNAUTHENTICATED,
            "several tokens" if values else "no token",
        )
    scheme, _, token = values[0].partition(" ")
    token = token.strip()
    if scheme.lower() != _SCHEME or not token:
        raise errors.WharfError(
            errors.ErrorKind.UNAUTHENTICATED, "malformed token"
        )
    return token


class DigestTable(Generic[T]):
    """Maps tokens to values by their digests.

    A digest that occurs more than once is ambiguous and matches nothing.

    Args:
        entries: Pairs of a digest, in upper or lower case, and its value.

    Attributes:
        ambiguous: Number of ambiguous digests.
    """

    def __init__(self, entries: Iterable[tuple[str, T]]) -> None:
        self._entries: dict[str, tuple[str, T]] = {}
        self.ambiguous = 0
        duplicates: set[str] = set()
        for digest, value in entries:
            digest = digest.lower()
            if digest in self._entries:
                duplicates.add(digest)
            self._entries[digest] = (digest, value)
        for digest in duplicates:
            del self._entries[digest]
        self.ambiguous = len(duplicates)

    def __len__(self) -> int:
        return len(self._entries)

    def find(self, token: str) -> T | None:
        """Returns the value of a token; ``None`` for an unknown token.

        The timing of the table lookup depends only on the digest, which can't
        be chosen byte by byte without knowing a matching token. The final
        comparison takes constant time.
        """
        digest = token_digest(token)
        stored, value = self._entries.get(digest, ("", None))
        return value if hmac.compare_digest(stored, digest) else None
