"""Headers that concern one connection only, which are not passed on."""

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
    """The headers that are passed on.

    Args:
        pairs: Names and values, in their order.
        dropped: Names left out besides, in lower case.

    Returns:
        All but those of one connection, those that the Connection header
        names, and those to drop.
    """
    items = tuple(pairs)
    named = {
        token.strip().lower()
        for name, value in items
        if name.lower() == "connection"
        for token in value.split(",")
    }
    left_out = HOP_HEADERS | named | set(dropped)
    return tuple((n, v) for n, v in items if n.lower() not in left_out)
