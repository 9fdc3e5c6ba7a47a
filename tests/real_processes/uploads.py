"""Callers of one kind beside others, and what each kind's requests brought."""

from __future__ import annotations

import asyncio
import random

from tests.real_processes import callers as all_callers
from tests.real_processes import configurations
from tests.real_processes import deployment as deployments
from tests.real_processes import uploaders as all_uploaders

_LIMITS = {"maxBodyBytes": 4_194_304}
_IN_FORCE_S = 2.0


async def allow_large_bodies(deployment: deployments.Deployment) -> None:
    """Writes a configuration whose bound on bodies allows the uploaders'."""
    configuration = configurations.first() | {"version": 2}
    configuration["limits"] |= _LIMITS
    await deployment.configure(configuration)
    await asyncio.sleep(_IN_FORCE_S)


class Play:
    """Small requests beside large bodies.

    Args:
        deployment: The deployment.
        seed: Seed of all that is drawn.

    Attributes:
        small: Exchanges of callers with small requests.
        large: Exchanges of uploaders.
    """

    def __init__(self, deployment: deployments.Deployment, seed: int) -> None:
        self.small: list[all_callers.Exchange] = []
        self.large: list[all_callers.Exchange] = []
        self._deployment = deployment
        self._seed = seed
        self._callers: list[all_callers.Caller] = []
        self._tasks: list[asyncio.Task[None]] = []

    def begin(
        self,
        kind: type[all_callers.Caller],
        count: int,
        bodies: tuple[str, ...] = (),
    ) -> None:
        """Starts callers of one kind.

        Args:
            kind: Class of the callers.
            count: Number of callers.
            bodies: How the bodies of uploaders come.
        """
        is_large = kind is all_uploaders.Uploader
        for number in range(count):
            caller = kind(
                self._deployment,
                f"{kind.__name__}-{number}",
                (configurations.ONCE,),
                random.Random((self._seed << 16) + number),
                self.large if is_large else self.small,
            )
            if isinstance(caller, all_uploaders.Uploader):
                caller.kinds = bodies
            self._callers.append(caller)
            self._tasks.append(asyncio.ensure_future(caller.run()))

    async def end(self) -> None:
        """Lets the callers send no more, and awaits their last answers."""
        for caller in self._callers:
            caller.is_leaving = True
        await asyncio.gather(*self._tasks)
