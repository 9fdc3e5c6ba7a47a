"""What stays the same of a request when its caller sends it again.

Each try has an id and a connection of its own, and may come to any instance.
Its caller, host, method, path and body are those of the try before.
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
    """The part of a fingerprint that costs the same for any body.

    Attributes:
        account: Client account of the caller; empty for none.
        shape: Hash of host, method, path and the body's length.
    """

    account: str
    shape: int

    @classmethod
    def from_call(cls, call: calls.Call) -> Outline:
        """The outline of a request."""
        parts = (call.host.lower(), call.method, call.path_query)
        text = "\0".join((*parts, str(len(call.body))))
        shape = xxhash.xxh3_64_intdigest(text.encode(errors="surrogateescape"))
        return cls(call.account or "", shape)


@dataclasses.dataclass(frozen=True, slots=True)
class Fingerprint:
    """Names a request over all of its tries.

    The digest is cryptographic: nobody can make up a request that is taken for
    another caller's.

    Attributes:
        outline: Tells nearly all other requests from it, at little cost.
        digest: Digest of the caller's token, where there are no accounts, and
            of all that the outline is made of, the body included.
    """

    outline: Outline
    digest: bytes

    @classmethod
    def from_call(cls, call: calls.Call) -> Fingerprint:
        """The fingerprint of a request; the cost grows with its body."""
        tokens = [v for n, v in call.headers if n.lower() == _TOKEN_HEADER]
        digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
        fields = (call.host.lower(), call.method, call.path_query, *tokens)
        for field in fields:
            data = field.encode(errors="surrogateescape")
            digest.update(len(data).to_bytes(8, "big") + data)
        digest.update(call.body)
        return cls(Outline.from_call(call), digest.digest())


_TOKEN_HEADER = bearer.HEADER.lower()
