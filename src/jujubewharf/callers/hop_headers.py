"""Removes hop-by-hop headers before messages are forwarded."""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable

# RFC 9110, section 7.6.1.
HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)

Headers = tuple[tuple[str, str], ...]


def end_to_end(
    pairs: Iterable[tuple[str, str]], *, dropped: Collection[str] = ()
) -> Headers:
    """Returns the headers to forward.

    Args:
        pairs: Names and values of the received headers.
        dropped: Lower-case names of further headers to remove.

    Returns:
        The headers without hop-by-hop headers, headers named by the
        Connection header, and ``dropped``; the order is kept.
    """
    items = tuple(pairs)
    connection_tokens = {
        token.strip().lower()
        for name, value in items
        if name.lower() == "connection"
        for token in value.split(",")
    }
    removed = HOP_HEADERS | connection_tokens | set(dropped)
    return tuple((n, v) for n, v in items if n.lower() not in removed)
