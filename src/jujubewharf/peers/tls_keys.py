"""Reloads TLS keys without a restart."""

from __future__ import annotations

from typing import TYPE_CHECKING

import mode
import structlog

from jujubewharf.connections import table
from jujubewharf.peers import streams
from jujubewharf.peers import tls

if TYPE_CHECKING:
    from jujubewharf import clock as clocks
    from jujubewharf.peers import mesh as meshes
    from jujubewharf.settings import models


def configured_files(settings: models.PeerSettings) -> tls.TlsFiles | None:
    """Returns the configured key files; ``None`` if TLS is disabled."""
    certificate = settings.tls_certificate_file
    key = settings.tls_key_file
    authority = settings.tls_authority_file
    if certificate is None or key is None or authority is None:
        return None
    return tls.TlsFiles(certificate, key, authority)


def make_transport(
    settings: models.PeerSettings, connections: table.Connections | None = None
) -> streams.TcpTransport:
    """Creates the TCP transport of the daemon.

    Args:
        settings: Address and keys.
        connections: All connections that others have open; ``None`` where they
            aren't bounded.

    Raises:
        TlsFilesError: The keys can't be loaded.
    """
    files = configured_files(settings)
    contexts = None if files is None else tls.load(files)
    return streams.TcpTransport(
        settings.host,
        settings.port,
        contexts=contexts,
        connections=connections,
    )


class KeyReloader(mode.Service):
    """Polls the key files and reloads them when they change.

    Args:
        files: Paths of the key files.
        transport: Receives the new TLS contexts.
        mesh: Reopens its links with the new contexts.
        clock: Source of time.
        poll_ms: Interval between polls, in ms.

    Attributes:
        reloads: Number of successful reloads.
        failures: Number of polls at which the files could not be loaded.
    """

    def __init__(
        self,
        files: tls.TlsFiles,
        transport: streams.TcpTransport,
        mesh: meshes.PeerMesh,
        clock: clocks.Clock,
        *,
        poll_ms: float,
    ) -> None:
        super().__init__()
        self.reloads = 0
        self.failures = 0
        self._files = files
        self._transport = transport
        self._mesh = mesh
        self._clock = clock
        self._poll_ms = poll_ms
        self._stamp = files.file_versions()
        self._logger = structlog.get_logger()

    @mode.Service.task
    async def _poll_loop(self) -> None:
        while not self.should_stop:
            await self._clock.sleep_ms(self._poll_ms)
            try:
                self._reload_if_changed()
            except tls.TlsFilesError as error:
                # Files are replaced one after the other, so a poll may see
                # them half replaced. Keep the old keys until the next poll.
                self.failures += 1
                self._logger.warning("peer_keys_unusable", detail=str(error))

    def _reload_if_changed(self) -> None:
        stamp = self._files.file_versions()
        if stamp == self._stamp:
            return
        contexts = tls.load(self._files)
        self._stamp = stamp
        self._transport.set_contexts(contexts)
        self._mesh.replace_links()
        self.reloads += 1
        self._logger.info("peer_keys_reloaded")
