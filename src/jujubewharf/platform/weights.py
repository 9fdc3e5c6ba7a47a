"""Client for the platform's rate-limited store of model weights.

Engines fetch weights themselves. The router only reads the store's rate and
load, so that it starts no more loads than the store can serve.
"""

from __future__ import annotations

import dataclasses
from typing import Protocol

import aiohttp

from jujubewharf import clock as clocks
from jujubewharf.platform import http_json


class WeightStoreUnavailableError(Exception):
    """The store could not be reached; no loads may be started."""


@dataclasses.dataclass(frozen=True, slots=True)
class WeightStatus:
    """Transfer rate of the store and number of fetches in progress."""

    rate_bytes_per_s: float
    active_fetches: int


class WeightStore(Protocol):
    """Interface of the weight store."""

    async def status(self) -> WeightStatus:
        """Reads the store's rate and load.

        Raises:
            WeightStoreUnavailableError: The store could not be reached.
        """
        ...


class HttpWeightStore:
    """Implements ``WeightStore`` over HTTP with JSON bodies."""

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
