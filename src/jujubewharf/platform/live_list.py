"""Client for the platform's list of live and leaving instances and endpoints.

The list is eventually consistent: it lags behind the actual state.
"""

from __future__ import annotations

import dataclasses
import enum
from typing import Protocol

import aiohttp

from jujubewharf import clock as clocks
from jujubewharf.platform import http_json


class LiveListUnavailableError(Exception):
    """The list could not be fetched; the last known one stays in use."""


class LiveState(enum.Enum):
    """State of a member on the list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class LiveMember:
    """An entry instance or an endpoint on the list.

    Attributes:
        name: Its name in settings or configuration.
        address: ``IP:PORT``; for instances, that of the peer link.
        domain: Failure domain.
        is_entry: True for an entry instance, false for an endpoint.
        state: Live or leaving.
    """

    name: str
    address: str
    domain: str
    is_entry: bool
    state: LiveState = LiveState.LIVE


class LiveList(Protocol):
    """Interface of the live list."""

    async def fetch(self) -> tuple[LiveMember, ...]:
        """Fetches the whole list.

        Raises:
            LiveListUnavailableError: The list could not be fetched.
        """
        ...


class HttpLiveList:
    """Implements ``LiveList`` over HTTP with JSON bodies."""

    def __init__(
        self, url: str, session: aiohttp.ClientSession, clock: clocks.Clock
    ) -> None:
        self._url = url
        self._session = session
        self._clock = clock

    async def fetch(self) -> tuple[LiveMember, ...]:
        """Fetches the whole list; see ``LiveList``."""
        try:
            items = await http_json.get(
                f"{self._url}/list", self._session, self._clock
            )
            return tuple(_member(item) for item in items)
        except (aiohttp.ClientError, OSError) as error:
            raise LiveListUnavailableError(str(error)) from error
        except (KeyError, TypeError, ValueError) as error:
            # A partly parsed list would make live members look gone.
            raise LiveListUnavailableError("malformed list") from error


def _member(item: dict[str, object]) -> LiveMember:
    return LiveMember(
        name=str(item["name"]),
        address=str(item["address"]),
        domain=str(item["domain"]),
        is_entry=bool(item["is_entry"]),
        state=LiveState(item["state"]),
    )
