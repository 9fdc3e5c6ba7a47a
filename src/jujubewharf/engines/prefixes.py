"""Hashes of prompt prefixes, as engines name them in cache events."""

from __future__ import annotations

import xxhash

BLOCK_TOKENS = 64


def tokens_of(prompt: str) -> list[str]:
    """A prompt's tokens: its words."""
    return prompt.split()


def prefix_hashes(prompt: str) -> tuple[int, ...]:
    """A chained hash for each whole block of tokens, shortest prefix first."""
    tokens = tokens_of(prompt)
    hashes: list[int] = []
    state = xxhash.xxh3_64()
    for start in range(0, len(tokens) - BLOCK_TOKENS + 1, BLOCK_TOKENS):
        block = " ".join(tokens[start : start + BLOCK_TOKENS])
        state.update(block.encode())
        hashes.append(state.intdigest())
    return tuple(hashes)
