"""Mutual TLS between instances: contexts from files, and the peer's names."""

from __future__ import annotations

import dataclasses
import pathlib
import ssl
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jujubewharf.peers import streams


class TlsFilesError(Exception):
    """The files are missing, malformed, or don't belong together."""


@dataclasses.dataclass(frozen=True, slots=True)
class TlsFiles:
    """Where the keys are.

    Attributes:
        certificate: PEM certificate of this instance, with its chain.
        key: PEM key to it.
        authority: PEM authorities that sign the instances. While one takes
            over from another, both stand here.
    """

    certificate: pathlib.Path
    key: pathlib.Path
    authority: pathlib.Path

    def stamp(self) -> tuple[tuple[int, int], ...]:
        """Changes whenever one of the files does.

        Raises:
            TlsFilesError: A file is missing.
        """
        try:
            stats = [p.stat() for p in (self.certificate, self.key)]
            stats.append(self.authority.stat())
        except OSError as error:
            raise TlsFilesError(str(error)) from error
        return tuple((stat.st_mtime_ns, stat.st_size) for stat in stats)


@dataclasses.dataclass(frozen=True, slots=True)
class TlsContexts:
    """Contexts for both directions.

    Attributes:
        client: For dialling.
        server: For listening.
    """

    client: ssl.SSLContext
    server: ssl.SSLContext


def load(files: TlsFiles) -> TlsContexts:
    """Reads the files.

    Neither context checks host names: instances are dialled by IP number and
    replaced at any. Instead the name that a peer gives in its hello must
    stand in its certificate.

    Raises:
        TlsFilesError: The files can't be used.
    """
    return TlsContexts(
        client=_context(ssl.PROTOCOL_TLS_CLIENT, files),
        server=_context(ssl.PROTOCOL_TLS_SERVER, files),
    )


def peer_names(writer: streams.StreamWriter) -> tuple[str, ...] | None:
    """Names in the other side's certificate; ``None`` without TLS."""
    if writer.get_extra_info("ssl_object") is None:
        return None
    certificate = writer.get_extra_info("peercert") or {}
    alternative = certificate.get("subjectAltName", ())
    names = [value for kind, value in alternative if kind == "DNS"]
    for attributes in certificate.get("subject", ()):
        names += [value for kind, value in attributes if kind == "commonName"]
    return tuple(names)


def _context(protocol: int, files: TlsFiles) -> ssl.SSLContext:
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    try:
        context.load_cert_chain(files.certificate, files.key)
        context.load_verify_locations(files.authority)
    except OSError as error:
        raise TlsFilesError(f"{files.certificate}: {error}") from error
    return context
