"""A request body that can be read again while it is small."""

from __future__ import annotations

from collections.abc import AsyncIterator

from jujubewharf import errors

MAX_KEPT_BYTES = 65_536


class ReplayableBody:
    """Keeps the start of a body as it goes out.

    Args:
        source: The body as it arrives; ``None`` without one.
        max_kept_bytes: Bytes kept for a retry.

    Attributes:
        failure: Why the caller's own sending failed, if it did; whoever reads
            the body may not pass such an error on as it was.
    """

    def __init__(
        self,
        source: AsyncIterator[bytes] | None,
        *,
        max_kept_bytes: int = MAX_KEPT_BYTES,
    ) -> None:
        self.failure: errors.WharfError | None = None
        self._source = source
        self._max_kept_bytes = max_kept_bytes
        self._kept: list[bytes] = []
        self._kept_bytes = 0
        self._is_spilled = False

    @property
    def is_whole(self) -> bool:
        """Whether ``read`` can still give the body from its start."""
        return not self._is_spilled

    async def peek(self) -> bytes:
        """The body's start, all of it when it is small."""
        if self._source is None:
            return b""
        while self._kept_bytes < self._max_kept_bytes:
            chunk = await anext(self._source, None)
            if chunk is None:
                break
            # Kept even where it reaches over the bound: it is not sent yet.
            self._kept.append(chunk)
            self._kept_bytes += len(chunk)
        return b"".join(self._kept)

    def read(self) -> AsyncIterator[bytes] | None:
        """The body from its start; asked for once an attempt."""
        return None if self._source is None else self._read()

    async def _read(self) -> AsyncIterator[bytes]:
        assert self._source is not None
        for chunk in list(self._kept):
            yield chunk
        try:
            async for chunk in self._source:
                self._keep(chunk)
                yield chunk
        except errors.WharfError as error:
            self.failure = error
            raise

    def _keep(self, chunk: bytes) -> None:
        self._kept_bytes += len(chunk)
        if self._is_spilled:
            return
        if self._kept_bytes <= self._max_kept_bytes:
            self._kept.append(chunk)
            return
        self._is_spilled = True
        self._kept.clear()
