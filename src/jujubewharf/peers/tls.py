"""Mutual TLS between instances: contexts from files, and the peer's names."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jujubewharf.peers import streams


def peer_names(writer: streams.StreamWriter) -> tuple[str, ...] | None:
    """Names in the other side's certificate; ``None`` without TLS."""
    certificate = writer.get_extra_info("peercert")
    if writer.get_extra_info("ssl_object") is None:
        return None
    if not certificate:
        return ()
    alternative = certificate.get("subjectAltName", ())
    names = [value for kind, value in alternative if kind == "DNS"]
    for attributes in certificate.get("subject", ()):
        names += [value for kind, value in attributes if kind == "commonName"]
    return tuple(names)
