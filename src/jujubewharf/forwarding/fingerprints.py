"""Identifies a request across the tries of its caller.

Each try has its own request id and connection, and can arrive at any instance.
Caller, host, method, path and body stay the same.
"""

from __future__ import annotations

import dataclasses
import hashlib

import xxhash

from jujubewharf import bearer
from jujubewharf.forwarding import calls

_DIGEST_BYTES = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Outline:
    """Part of a fingerprint that does not require hashing the body.

    Attributes:
        account: Client account of the caller; empty if there is none.
        shape: Hash of host, method, path and body length.
    """

    account: str
    shape: int

    @classmethod
    def from_call(cls, call: calls.Call) -> Outline:
        """Returns the outline of a request."""
        parts = (call.host.lower(), call.method, call.path_query)
        text = "\0".join((*parts, str(len(call.body))))
        shape = xxhash.xxh3_64_intdigest(text.encode(errors="surrogateescape"))
        return cls(call.account or "", shape)


@dataclasses.dataclass(frozen=True, slots=True)
class Fingerprint:
    """Identifies a request across its tries.

    The digest is cryptographic, so that no caller can construct a request that
    matches the fingerprint of another caller's request.

    Attributes:
        outline: Cheap pre-check that rules out most other requests.
        digest: Digest of host, method, path, body and, if the headers contain
            one, the caller's token.
    """

    outline: Outline
    digest: bytes

    @classmethod
    def from_call(cls, call: calls.Call) -> Fingerprint:
        """Computes the fingerprint of a request, hashing its body."""
        tokens = [v for n, v in call.headers if n.lower() == _TOKEN_HEADER]
        digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
        fields = (call.host.lower(), call.method, call.path_query, *tokens)
        for field in fields:
            data = field.encode(errors="surrogateescape")
            digest.update(len(data).to_bytes(8, "big") + data)
        digest.update(call.body)
        return cls(Outline.from_call(call), digest.digest())


_TOKEN_HEADER = bearer.HEADER.lower()
