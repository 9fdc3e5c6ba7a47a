"""The platform's rate-limited store of model weights.

Engines fetch weights themselves; the system only asks what a load will cost,
so that it never starts more loads than the store's rate carries.
"""

from __future__ import annotations

import dataclasses
from typing import Protocol

import aiohttp

from jujubewharf import clock as clocks
from jujubewharf.platform import http_json


class WeightStoreUnavailableError(Exception):
    """The store was not reached; start no loads."""


@dataclasses.dataclass(frozen=True, slots=True)
class WeightStatus:
    """The store's rate and what is being fetched from it now."""

    rate_bytes_per_s: float
    active_fetches: int


class WeightStore(Protocol):
    """What the system needs of the store."""

    async def status(self) -> WeightStatus:
        """Reads the store's rate and load.

        Raises:
            WeightStoreUnavailableError: The store was not reached.
        """
        ...


class HttpWeightStore:
    """The store over HTTP with a JSON body."""

    def __init__(
        self, url: str, session: aiohttp.ClientSession, clock: clocks.Clock
    ) -> None:
        self._url = url
        self._session = session
        self._clock = clock

    async def status(self) -> WeightStatus:
        """Reads the store's rate and load; see ``WeightStore``."""
        try:
            body = await http_json.get(
                f"{self._url}/status", self._session, self._clock
            )
        except (aiohttp.ClientError, TimeoutError) as error:
            raise WeightStoreUnavailableError(str(error)) from error
        return WeightStatus(
            rate_bytes_per_s=float(body["rate_bytes_per_s"]),
            active_fetches=int(body["active_fetches"]),
        )
