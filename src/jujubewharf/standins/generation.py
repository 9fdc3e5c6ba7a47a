"""One running answer of an engine: a buffer read from any place."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

from jujubewharf import hashing
from jujubewharf.engines import client

_LENGTH_WORD = "answer_tokens="
_DEFAULT_ANSWER_TOKENS = 16


def answer_token(prompt: str, index: int) -> str:
    """The token that every engine writes at one place of one answer."""
    return f" {hashing.digest(prompt.encode())[:6]}-{index}"


def answer_tokens(prompt: str, first_index: int, count: int) -> list[str]:
    """A run of an answer's tokens; see ``answer_token``."""
    stem = hashing.digest(prompt.encode())[:6]
    return [f" {stem}-{first_index + place}" for place in range(count)]


def answer_length(prompt: str, max_tokens: int) -> int:
    """Length of the answer.

    A prompt may ask for one by its first word or, when it shares its
    beginning with others, by its last.
    """
    for words in (prompt.split(maxsplit=1)[:1], prompt.rsplit(maxsplit=1)[-1:]):
        for word in words:
            if word.startswith(_LENGTH_WORD):
                return min(max_tokens, int(word[len(_LENGTH_WORD) :]))
    return min(max_tokens, _DEFAULT_ANSWER_TOKENS)


class Generation:
    """A running answer.

    Args:
        first_index: Number of its first token.

    Attributes:
        task: Writes it, once started.
    """

    def __init__(self, first_index: int) -> None:
        self.first_index = first_index
        self.is_done = False
        self.task: asyncio.Task[None] | None = None
        self._tokens: list[str] = []
        self._is_lost = False
        self._changed = asyncio.Condition()

    async def add(self, tokens: list[str], *, is_done: bool) -> None:
        """Adds tokens for the readers."""
        async with self._changed:
            self._tokens.extend(tokens)
            self.is_done = is_done
            self._changed.notify_all()

    async def lose(self) -> None:
        """Breaks it off for all readers."""
        async with self._changed:
            self._is_lost = True
            self._changed.notify_all()

    async def follow(
        self, first_index: int, error: client.EngineError
    ) -> AsyncIterator[client.TokenChunk]:
        """Reads from a place to the end.

        Args:
            first_index: Number of the first token wanted.
            error: Raised when the answer is broken off.
        """
        sent = first_index - self.first_index
        while True:
            async with self._changed:
                while self._is_silent(sent):
                    await self._changed.wait()
            if self._is_lost:
                raise error
            fresh = tuple(self._tokens[sent:])
            is_last = self.is_done
            index = self.first_index + sent
            sent += len(fresh)
            yield client.TokenChunk(index, fresh, is_last)
            if is_last:
                return

    def _is_silent(self, sent: int) -> bool:
        is_over = self.is_done or self._is_lost
        return len(self._tokens) <= sent and not is_over
