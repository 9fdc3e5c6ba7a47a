"""Hashes of prompt prefixes, as used in cache events."""

from __future__ import annotations

import xxhash

BLOCK_TOKENS = 64


def tokens_of(prompt: str) -> list[str]:
    """Returns the tokens of a prompt: its words."""
    return prompt.split()


def prefix_hashes(prompt: str) -> tuple[int, ...]:
    """Returns a chained hash per full token block, shortest prefix first."""
    tokens = tokens_of(prompt)
    hashes: list[int] = []
    state = xxhash.xxh3_64()
    for start in range(0, len(tokens) - BLOCK_TOKENS + 1, BLOCK_TOKENS):
        block = " ".join(tokens[start : start + BLOCK_TOKENS])
        state.update(block.encode())
        hashes.append(state.intdigest())
    return tuple(hashes)
