"""Deterministic answers and a buffer for an answer being generated."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

from jujubewharf import hashing
from jujubewharf.engines import client

_LENGTH_PREFIX = "answer_tokens="
_DEFAULT_ANSWER_TOKENS = 16


def answer_token(prompt: str, index: int) -> str:
    """Returns the token at ``index`` of the answer to a prompt."""
    return f" {hashing.digest(prompt.encode())[:6]}-{index}"


def answer_tokens(prompt: str, first_index: int, count: int) -> list[str]:
    """Returns ``count`` consecutive tokens; see ``answer_token``."""
    stem = hashing.digest(prompt.encode())[:6]
    return [f" {stem}-{first_index + place}" for place in range(count)]


def answer_length(prompt: str, max_tokens: int) -> int:
    """Returns the length of the answer in tokens.

    The first or last word of a prompt may set it as ``answer_tokens=N``; the
    last word serves prompts that start with a shared prefix.
    """
    for words in (prompt.split(maxsplit=1)[:1], prompt.rsplit(maxsplit=1)[-1:]):
        for word in words:
            if word.startswith(_LENGTH_PREFIX):
                return min(max_tokens, int(word[len(_LENGTH_PREFIX) :]))
    return min(max_tokens, _DEFAULT_ANSWER_TOKENS)


class Generation:
    """An answer being generated, with any number of readers.

    Args:
        first_index: Index of the first generated token.

    Attributes:
        task: Task that generates the tokens, once started.
    """

    def __init__(self, first_index: int) -> None:
        self.first_index = first_index
        self.is_done = False
        self.task: asyncio.Task[None] | None = None
        self._tokens: list[str] = []
        self._is_lost = False
        self._changed = asyncio.Condition()

    async def add(self, tokens: list[str], *, is_done: bool) -> None:
        """Appends tokens and notifies the readers."""
        async with self._changed:
            self._tokens.extend(tokens)
            self.is_done = is_done
            self._changed.notify_all()

    async def abort(self) -> None:
        """Aborts the answer for all readers."""
        async with self._changed:
            self._is_lost = True
            self._changed.notify_all()

    async def follow(
        self, first_index: int, error: client.EngineError
    ) -> AsyncIterator[client.TokenChunk]:
        """Streams the tokens from an index to the end.

        Args:
            first_index: Index of the first token to return.
            error: Raised if the answer is aborted.
        """
        sent = first_index - self.first_index
        while True:
            async with self._changed:
                while self._must_wait(sent):
                    await self._changed.wait()
            if self._is_lost:
                raise error
            new_tokens = tuple(self._tokens[sent:])
            is_last = self.is_done
            index = self.first_index + sent
            sent += len(new_tokens)
            yield client.TokenChunk(index, new_tokens, is_last)
            if is_last:
                return

    def _must_wait(self, sent: int) -> bool:
        is_over = self.is_done or self._is_lost
        return len(self._tokens) <= sent and not is_over
