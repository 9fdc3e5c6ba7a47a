"""HTTP client for the platform's log, with msgpack bodies.

A log that is restored from a copy has lost acknowledged records. What this
process has read and promised may rest on them, so a client uses the restored
log no more: changes are refused as with a log that is down, and what is in
force stays so, until the process is started again. Who knows what was lost,
as the claims do, reopens the log.
"""

from __future__ import annotations

from collections.abc import Sequence

import aiohttp
import msgpack
import structlog

from jujubewharf import clock as clocks
from jujubewharf.platform import epochs
from jujubewharf.platform import log

# Header of all answers: number of times that the log was restored.
EPOCH_HEADER = "Log-Epoch"

_REQUEST_TIMEOUT_MS = 3_000.0
_OK = 200
_GONE = 410
_SERVER_ERROR = 500
_UNAVAILABLE = 503


class HttpLog:
    """Implements ``log.Log`` over HTTP.

    Args:
        url: ``http://IP:PORT`` of the service.
        session: Shared client session.
        clock: Clock for timeouts.
    """

    def __init__(
        self, url: str, session: aiohttp.ClientSession, clock: clocks.Clock
    ) -> None:
        self._url = url
        self._session = session
        self._clock = clock
        self._first_epoch = epochs.FirstEpoch()
        self._logger = structlog.get_logger()

    async def append(self, stream: str, payloads: Sequence[bytes]) -> list[int]:
        """Appends records; see ``log.Log``."""
        body = msgpack.packb(list(payloads))
        try:
            async with self._clock.timeout_ms(_REQUEST_TIMEOUT_MS):
                async with self._session.post(
                    f"{self._url}/append",
                    params={"stream": stream},
                    data=body,
                ) as response:
                    _check_append(response.status)
                    if not self._is_same_log(response):
                        raise log.AppendUnknownError("log was restored")
                    return list(msgpack.unpackb(await response.read()))
        except aiohttp.ClientConnectorError as error:
            raise log.LogUnavailableError(str(error)) from error
        except (aiohttp.ClientError, TimeoutError) as error:
            raise log.AppendUnknownError(str(error)) from error

    async def read(
        self,
        stream: str,
        from_offset: int,
        *,
        limit: int = 500,
        wait_ms: float = 0.0,
    ) -> log.LogPage:
        """Reads records; see ``log.Log``."""
        query = {
            "stream": stream,
            "from": str(from_offset),
            "limit": str(limit),
            "wait_ms": str(wait_ms),
        }
        try:
            async with self._clock.timeout_ms(wait_ms + _REQUEST_TIMEOUT_MS):
                async with self._session.get(
                    f"{self._url}/read", params=query
                ) as response:
                    if not self._is_same_log(response):
                        raise log.LogRestoredError("log was restored")
                    return await _page(response, self._first_epoch.epoch or 0)
        except (aiohttp.ClientError, TimeoutError) as error:
            raise log.LogUnavailableError(str(error)) from error

    def reopened(self) -> HttpLog:
        """Returns a client of the log as it is now; see ``log.Log``."""
        return HttpLog(self._url, self._session, self._clock)

    def _is_same_log(self, response: aiohttp.ClientResponse) -> bool:
        """Returns whether an answer is of the log that was first read."""
        epoch = epochs.parse(response.headers.get(EPOCH_HEADER, ""))
        if self._first_epoch.is_same(epoch):
            return True
        former = self._first_epoch.epoch
        self._logger.error("log_restored", epoch=epoch, former=former)
        return False


def _check_append(status: int) -> None:
    """Raises unless the append succeeded.

    Raises:
        LogUnavailableError: The log refused; nothing was appended.
        AppendUnknownError: A server error, possibly after the append.
    """
    if status == _OK:
        return
    if status == _UNAVAILABLE or status < _SERVER_ERROR:
        raise log.LogUnavailableError(f"status {status}")
    raise log.AppendUnknownError(f"status {status}")


async def _page(response: aiohttp.ClientResponse, epoch: int) -> log.LogPage:
    body = msgpack.unpackb(await response.read())
    if response.status == _GONE:
        raise log.LogTruncatedError(body["first_offset"])
    if response.status != 200:
        raise log.LogUnavailableError(f"status {response.status}")
    return log.LogPage(
        records=tuple(log.LogRecord(o, p) for o, p in body["records"]),
        first_offset=body["first_offset"],
        next_offset=body["next_offset"],
        epoch=epoch,
    )
