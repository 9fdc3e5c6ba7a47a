"""Holds the tokens of one answer while it is produced and read."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Iterable

import xxhash

from jujubewharf import clock as clocks
from jujubewharf import errors
from jujubewharf.requests import model_request

End = model_request.Finished | model_request.Failed


class Answer:
    """A growing sequence of tokens with one writer and any number of readers.

    Readers may start at any token index. A finished answer carries a token
    count and a digest. Each reader compares them with what it passed on, so
    that a gap or a repeated token is reported as ``ANSWER_BROKEN``.

    Args:
        clock: Source of time and timeouts.

    Attributes:
        texts: Tokens added so far.
        end: How the answer ended; ``None`` while it is running.
        first_token_ms: Clock reading when the first token was added, in ms.
        model_version: Model version of the engine that wrote the last token;
            ``None`` if unknown.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.texts: list[str] = []
        self.end: End | None = None
        self.first_token_ms: float | None = None
        self.model_version: str | None = None
        self._clock = clock
        self._digest = xxhash.xxh3_128()
        self._changed = asyncio.Event()

    def __repr__(self) -> str:
        return f"Answer({len(self.texts)} tokens, end={self.end})"

    @property
    def digest(self) -> str:
        """Hex digest of the tokens added so far."""
        return self._digest.hexdigest()

    def add(self, texts: Iterable[str]) -> None:
        """Appends tokens and wakes the readers."""
        if self.first_token_ms is None:
            self.first_token_ms = self._clock.now_ms()
        for text in texts:
            self.texts.append(text)
            self._digest.update(text.encode())
        self._wake()

    def finish(self, end: End) -> None:
        """Ends the answer; later calls have no effect."""
        if self.end is None:
            self.end = end
            self._wake()

    async def wait_for_token(self, index: int, until_ms: float) -> bool:
        """Waits until the token at ``index`` exists or the answer has ended.

        Args:
            index: Token index, from 0.
            until_ms: Clock reading at which to stop waiting, in ms.

        Returns:
            False when the wait timed out.
        """
        while len(self.texts) <= index and self.end is None:
            left_ms = until_ms - self._clock.now_ms()
            if left_ms <= 0:
                return False
            changed = self._changed
            try:
                async with self._clock.timeout_ms(left_ms):
                    await changed.wait()
            except TimeoutError:
                continue
        return True

    async def follow(
        self, until_ms: float
    ) -> AsyncIterator[model_request.Event]:
        """Yields all tokens from the first on, then the end of the answer.

        No timeout context spans a ``yield``, because it would cancel code of
        the reader.

        Args:
            until_ms: Clock reading at which to stop waiting, in ms. The last
                event is then a ``DEADLINE_EXCEEDED`` failure.
        """
        is_timed_out = False

        def on_timeout() -> None:
            nonlocal is_timed_out
            is_timed_out = True
            self._wake()

        # One timer per reader, because a timer for each token took a tenth of
        # the time that an instance spent on relaying.
        timer = self._clock.call_at_ms(until_ms, on_timeout)
        sent = 0
        digest = xxhash.xxh3_128()
        try:
            while True:
                while len(self.texts) <= sent and self.end is None:
                    if is_timed_out:
                        kind = errors.ErrorKind.DEADLINE_EXCEEDED
                        yield model_request.Failed(kind, errors.Ran.UNKNOWN)
                        return
                    await self._changed.wait()
                new_texts = tuple(self.texts[sent:])
                if not new_texts:
                    break
                digest.update("".join(new_texts).encode())
                yield model_request.Tokens(sent, new_texts)
                sent += len(new_texts)
        finally:
            timer.cancel()
        assert self.end is not None
        yield _verified(self.end, sent, digest.hexdigest())

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


def _verified(end: End, count: int, digest: str) -> End:
    match end:
        case model_request.Finished() if (end.count, end.digest) != (
            count,
            digest,
        ):
            kind = errors.ErrorKind.ANSWER_BROKEN
            return model_request.Failed(kind, errors.Ran.YES)
    return end
