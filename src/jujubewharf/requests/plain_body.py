"""A request body that can be sent again while it is small."""

from __future__ import annotations

from collections.abc import AsyncIterator

from jujubewharf import errors

MAX_BUFFERED_BYTES = 65_536


class ReplayableBody:
    """Buffers the start of a body while it is sent.

    Args:
        source: Body stream; ``None`` without a body.
        max_buffered_bytes: Number of bytes buffered for a retry.

    Attributes:
        failure: Error raised by the caller's body stream, if any. It needs
            translation before it is reported to the caller, since it doesn't
            include whether the call ran.
    """

    def __init__(
        self,
        source: AsyncIterator[bytes] | None,
        *,
        max_buffered_bytes: int = MAX_BUFFERED_BYTES,
    ) -> None:
        self.failure: errors.WharfError | None = None
        self._source = source
        self._max_buffered_bytes = max_buffered_bytes
        self._buffer: list[bytes] = []
        self._read_bytes = 0
        self._is_truncated = False

    @property
    def is_replayable(self) -> bool:
        """Whether ``read`` can still return the body from its start."""
        return not self._is_truncated

    async def peek(self) -> bytes:
        """Returns the start of the body, or all of it if it is small."""
        if self._source is None:
            return b""
        while self._read_bytes < self._max_buffered_bytes:
            chunk = await anext(self._source, None)
            if chunk is None:
                break
            # Buffered even beyond the limit, since it has not been sent yet.
            self._buffer.append(chunk)
            self._read_bytes += len(chunk)
        return b"".join(self._buffer)

    def read(self) -> AsyncIterator[bytes] | None:
        """Returns the body from its start; called once per attempt."""
        return None if self._source is None else self._read()

    async def _read(self) -> AsyncIterator[bytes]:
        assert self._source is not None
        for chunk in list(self._buffer):
            yield chunk
        try:
            async for chunk in self._source:
                self._keep(chunk)
                yield chunk
        except errors.WharfError as error:
            self.failure = error
            raise

    def _keep(self, chunk: bytes) -> None:
        self._read_bytes += len(chunk)
        if self._is_truncated:
            return
        if self._read_bytes <= self._max_buffered_bytes:
            self._buffer.append(chunk)
            return
        self._is_truncated = True
        self._buffer.clear()
