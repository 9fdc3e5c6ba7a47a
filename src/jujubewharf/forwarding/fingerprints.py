"""Identifies what may crash engines: a request, or a part of prompts.

Each try of a request has its own request id and connection, and can arrive at
any instance. Caller, host, method, path and body stay the same. Requests that
share a part of their prompts share their caller and the part's name.
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

    @classmethod
    def from_part(cls, call: calls.Call, part: str) -> Outline:
        """Returns the outline of a shared part of a request's prompt."""
        text = f"{_PART_MARK}\0{part}"
        shape = xxhash.xxh3_64_intdigest(text.encode(errors="surrogateescape"))
        return cls(call.account or "", shape)


@dataclasses.dataclass(frozen=True, slots=True)
class Fingerprint:
    """Identifies a request across its tries, or a part of prompts.

    The digest is cryptographic, so that no caller can construct a request that
    matches the fingerprint of another caller's request.

    Attributes:
        outline: Cheap pre-check that rules out most other requests.
        digest: Digest of host, method, path and body, or of the part's name,
            and of the caller's token if the headers contain one.
    """

    outline: Outline
    digest: bytes

    @classmethod
    def from_call(cls, call: calls.Call) -> Fingerprint:
        """Computes the fingerprint of a request, hashing its body."""
        fields = (call.host.lower(), call.method, call.path_query)
        digest = _digest(*fields, *_tokens(call))
        digest.update(call.body)
        return cls(Outline.from_call(call), digest.digest())

    @classmethod
    def from_part(cls, call: calls.Call, part: str) -> Fingerprint:
        """Computes the fingerprint of a shared part of a request's prompt.

        It covers the caller, so that nobody can have the parts of others shut
        out by naming them.
        """
        digest = _digest(_PART_MARK, part, *_tokens(call))
        return cls(Outline.from_part(call, part), digest.digest())


# Begins the digests of parts. No request has it in place of its host.
_PART_MARK = "prompt part"
_TOKEN_HEADER = bearer.HEADER.lower()


def _tokens(call: calls.Call) -> list[str]:
    return [v for n, v in call.headers if n.lower() == _TOKEN_HEADER]


def _digest(*fields: str) -> hashlib.blake2b:
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for field in fields:
        data = field.encode(errors="surrogateescape")
        digest.update(len(data).to_bytes(8, "big") + data)
    return digest
