"""Bearer tokens: taken from a request, and found by their digests only.

No token is kept and none is compared: a configuration that leaks, and the time
that an answer takes, tell nothing of a token.
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


def digest_of(token: str) -> str:
    """What is kept of a token: its SHA-256 in hexadecimal.

    Bytes that are no text arrive as lone surrogates, which have to be turned
    back: a plain encoding of them raises, and the caller would see a failure of
    the system where it should see that its token is unknown.
    """
    raw = token.encode("utf-8", "surrogateescape")
    return hashlib.sha256(raw).hexdigest()


def token_of(values: Sequence[str]) -> str:
    """The token in a request's ``Authorization`` headers.

    Raises:
        WharfError: ``UNAUTHENTICATED``: there is none, there are several, or
            it is of another scheme.
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
    """Finds what belongs to a token.

    A digest that belongs to two things finds neither: it doesn't tell which of
    them the caller is.

    Args:
        entries: Digests, in upper or lower case, and what belongs to each.
    """

    def __init__(self, entries: Iterable[tuple[str, T]]) -> None:
        self._found: dict[str, tuple[str, T]] = {}
        self.ambiguous = 0
        doubled: set[str] = set()
        for digest, value in entries:
            digest = digest.lower()
            if digest in self._found:
                doubled.add(digest)
            self._found[digest] = (digest, value)
        for digest in doubled:
            del self._found[digest]
        self.ambiguous = len(doubled)

    def __len__(self) -> int:
        return len(self._found)

    def find(self, token: str) -> T | None:
        """What belongs to a token; ``None`` for one that isn't known.

        A digest can't be steered byte by byte by who doesn't know the token,
        so its way through the table tells nothing; the last comparison takes
        the same time for every digest.
        """
        digest = digest_of(token)
        stored, value = self._found.get(digest, ("", None))
        return value if hmac.compare_digest(stored, digest) else None
