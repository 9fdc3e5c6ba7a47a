"""Removes hop-by-hop headers before messages are forwarded."""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable

from jujubewharf import header_values
from jujubewharf.telemetry import containment

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
        Connection header, ``dropped``, and headers that are not UTF-8, which
        can't be sent on; the order is kept.
    """
    items = tuple(pairs)
    connection_tokens = {
        token.strip().lower()
        for name, value in items
        if name.lower() == "connection"
        for token in value.split(",")
    }
    removed = HOP_HEADERS | connection_tokens | set(dropped)
    return tuple(
        (name, value)
        for name, value in items
        if name.lower() not in removed and _is_sendable(name, value)
    )


def _is_sendable(name: str, value: str) -> bool:
    if header_values.is_text(name) and header_values.is_text(value):
        return True
    containment.report_skipped("other", value)
    return False
