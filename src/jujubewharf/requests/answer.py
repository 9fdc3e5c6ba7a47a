"""One answer as it grows: numbered tokens that any number of readers follow."""

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
    """Tokens from number 0 on, then one end.

    One task writes; readers follow from any place. The end of a whole answer
    carries count and digest, and each reader checks them against what it
    passed on, so that a gap or a repeat on the way shows as an error and
    never as a shorter or longer answer.

    Args:
        clock: Time.

    Attributes:
        texts: Tokens so far.
        end: How it ended; ``None`` while it runs.
        first_token_ms: Clock reading of the first token.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.texts: list[str] = []
        self.end: End | None = None
        self.first_token_ms: float | None = None
        self._clock = clock
        self._digest = xxhash.xxh3_128()
        self._changed = asyncio.Event()

    def __repr__(self) -> str:
        return f"Answer({len(self.texts)} tokens, end={self.end})"

    @property
    def digest(self) -> str:
        """Digest of the tokens so far."""
        return self._digest.hexdigest()

    def add(self, texts: Iterable[str]) -> None:
        """Appends tokens."""
        if self.first_token_ms is None:
            self.first_token_ms = self._clock.now_ms()
        for text in texts:
            self.texts.append(text)
            self._digest.update(text.encode())
        self._wake()

    def finish(self, end: End) -> None:
        """Ends it; only the first end counts."""
        if self.end is None:
            self.end = end
            self._wake()

    async def wait_beyond(self, index: int, until_ms: float) -> bool:
        """Waits for a token at an index, or the end.

        Returns:
            Whether either came in time.
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
        """Everything from the first token to the end.

        No timeout spans a ``yield``: it would strike in the reader's code.

        Args:
            until_ms: When the reader gives up waiting.
        """
        is_over = False

        def strike() -> None:
            nonlocal is_over
            is_over = True
            self._wake()

        # One timer a reader. One around each wait for a token was a tenth of
        # what an instance spent on relaying.
        alarm = self._clock.call_at_ms(until_ms, strike)
        sent = 0
        digest = xxhash.xxh3_128()
        try:
            while True:
                while len(self.texts) <= sent and self.end is None:
                    if is_over:
                        kind = errors.ErrorKind.DEADLINE_EXCEEDED
                        yield model_request.Failed(kind, errors.Ran.UNKNOWN)
                        return
                    await self._changed.wait()
                fresh = tuple(self.texts[sent:])
                if not fresh:
                    break
                digest.update("".join(fresh).encode())
                yield model_request.Tokens(sent, fresh)
                sent += len(fresh)
        finally:
            alarm.cancel()
        assert self.end is not None
        yield _checked(self.end, sent, digest.hexdigest())

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


def _checked(end: End, count: int, digest: str) -> End:
    match end:
        case model_request.Finished() if (end.count, end.digest) != (
            count,
            digest,
        ):
            kind = errors.ErrorKind.ANSWER_BROKEN
            return model_request.Failed(kind, errors.Ran.YES)
    return end
