"""Mutual TLS between instances: loading of keys and names of peers."""

from __future__ import annotations

import dataclasses
import pathlib
import ssl
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jujubewharf.peers import streams


class TlsFilesError(Exception):
    """The TLS files are missing, malformed or do not match each other."""


@dataclasses.dataclass(frozen=True, slots=True)
class TlsFiles:
    """Paths of the TLS files.

    Attributes:
        certificate: Certificate chain of this instance (PEM).
        key: Private key of the certificate (PEM).
        authority: Certificates of the trusted authorities (PEM). Contains the
            old and the new authority during a rotation.
    """

    certificate: pathlib.Path
    key: pathlib.Path
    authority: pathlib.Path

    def file_versions(self) -> tuple[tuple[int, int], ...]:
        """Returns modification time and size of each file.

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
    """TLS contexts for both directions.

    Attributes:
        client: Context for dialled streams.
        server: Context for accepted streams.
    """

    client: ssl.SSLContext
    server: ssl.SSLContext


def load(files: TlsFiles) -> TlsContexts:
    """Loads the TLS contexts from files.

    The contexts do not check host names, because instances are dialled by IP
    address and addresses change. Instead, the handshake requires the name in
    a peer's hello to be in its certificate.

    Raises:
        TlsFilesError: The files can't be loaded.
    """
    return TlsContexts(
        client=_context(ssl.PROTOCOL_TLS_CLIENT, files),
        server=_context(ssl.PROTOCOL_TLS_SERVER, files),
    )


def peer_names(writer: streams.StreamWriter) -> tuple[str, ...] | None:
    """Returns the names in the peer's certificate; ``None`` without TLS."""
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
