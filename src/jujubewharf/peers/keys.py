"""Takes new TLS keys in while the instance runs."""

from __future__ import annotations

from typing import TYPE_CHECKING

import mode
import structlog

from jujubewharf.peers import streams
from jujubewharf.peers import tls

if TYPE_CHECKING:
    from jujubewharf import clock as clocks
    from jujubewharf.peers import mesh as meshes
    from jujubewharf.settings import models


def files_of(settings: models.PeerSettings) -> tls.TlsFiles | None:
    """Where the settings say the keys are; ``None`` without TLS."""
    certificate = settings.tls_certificate_file
    key = settings.tls_key_file
    authority = settings.tls_authority_file
    if certificate is None or key is None or authority is None:
        return None
    return tls.TlsFiles(certificate, key, authority)


def make_transport(settings: models.PeerSettings) -> streams.TcpTransport:
    """Makes the transport of the daemon.

    Raises:
        TlsFilesError: The keys can't be used.
    """
    files = files_of(settings)
    contexts = None if files is None else tls.load(files)
    return streams.TcpTransport(settings.host, settings.port, contexts=contexts)


class KeyReloader(mode.Service):
    """Looks at the key files now and then and puts changes in force.

    Args:
        files: Where the keys are.
        transport: Gets the new contexts.
        mesh: Opens its links anew under them.
        clock: Time.
        poll_ms: Time between two looks.

    Attributes:
        reloads: How often new keys came into force.
        failures: How often new files could not be used.
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
        self._stamp = files.stamp()
        self._logger = structlog.get_logger()

    @mode.Service.task
    async def _watch(self) -> None:
        while not self.should_stop:
            await self._clock.sleep_ms(self._poll_ms)
            try:
                self._look()
            except tls.TlsFilesError as error:
                # Files are replaced one after the other, so a look may fall
                # between. The old keys stay in force; the next look tells.
                self.failures += 1
                self._logger.warning("peer_keys_unusable", detail=str(error))

    def _look(self) -> None:
        stamp = self._files.stamp()
        if stamp == self._stamp:
            return
        contexts = tls.load(self._files)
        self._stamp = stamp
        self._transport.renew(contexts)
        self._mesh.renew_links()
        self.reloads += 1
        self._logger.info("peer_keys_reloaded")
