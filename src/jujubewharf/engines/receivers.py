"""Headers of the product's own protocols that name the receiver of a call.

An address outlives its endpoint: another one may listen there by the time a
call arrives. An endpoint that knows its name refuses what is meant for another
one, with status 421 and its own name.
"""

from __future__ import annotations

from collections.abc import Mapping

# Name of the endpoint that a call is meant for.
EXPECTED = "X-Expected-Endpoint"
# Name of the endpoint that refuses a call which is meant for another one.
REFUSED_BY = "X-Refused-By"
MISDIRECTED_STATUS = 421


def is_refusal(status: int, headers: Mapping[str, str]) -> bool:
    """Returns whether another endpoint has refused a call, unrun.

    Status 421 alone may be an answer of the service itself.
    """
    return status == MISDIRECTED_STATUS and REFUSED_BY in headers


def is_meant_for_other(name: str, headers: Mapping[str, str]) -> bool:
    """Returns whether a received call is meant for another endpoint."""
    return headers.get(EXPECTED, name) != name
