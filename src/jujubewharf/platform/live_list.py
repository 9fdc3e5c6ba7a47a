"""The platform's lagging list of live and leaving instances and endpoints."""

from __future__ import annotations

import dataclasses
import enum
from typing import Protocol

import aiohttp

from jujubewharf import clock as clocks
from jujubewharf.platform import http_json


class LiveListUnavailableError(Exception):
    """The list was not reached; keep the last one."""


class LiveState(enum.Enum):
    """What the list says of one member."""

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
    """What the system needs of the list."""

    async def fetch(self) -> tuple[LiveMember, ...]:
        """Reads the whole list.

        Raises:
            LiveListUnavailableError: The list was not reached.
        """
        ...


class HttpLiveList:
    """The list over HTTP with a JSON body."""

    def __init__(
        self, url: str, session: aiohttp.ClientSession, clock: clocks.Clock
    ) -> None:
        self._url = url
        self._session = session
        self._clock = clock

    async def fetch(self) -> tuple[LiveMember, ...]:
        """Reads the whole list; see ``LiveList``."""
        try:
            items = await http_json.get(
                f"{self._url}/list", self._session, self._clock
            )
            return tuple(_member(item) for item in items)
        except (aiohttp.ClientError, OSError) as error:
            raise LiveListUnavailableError(str(error)) from error
        except (KeyError, TypeError, ValueError) as error:
            # Half a list must not pass for a list on which many are gone.
            raise LiveListUnavailableError("malformed list") from error


def _member(item: dict[str, object]) -> LiveMember:
    return LiveMember(
        name=str(item["name"]),
        address=str(item["address"]),
        domain=str(item["domain"]),
        is_entry=bool(item["is_entry"]),
        state=LiveState(item["state"]),
    )
