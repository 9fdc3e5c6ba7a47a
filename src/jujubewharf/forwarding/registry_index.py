"""Index of the registered endpoints, and those who are told of its changes."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import itertools

from jujubewharf.configuration import resources

Listener = Callable[[Sequence[resources.Endpoint]], None]


class RegistryIndex:
    """Endpoints by name and by service.

    Attributes:
        by_name: All endpoints.
    """

    def __init__(self) -> None:
        self.by_name: dict[str, resources.Endpoint] = {}
        self._by_service: dict[str, list[resources.Endpoint]] = {}
        self._listeners: list[Listener] = []

    def add_listener(self, listener: Listener) -> None:
        """Registers a callback that gets all endpoints that accept work."""
        self._listeners.append(listener)

    def of_service(self, service: str) -> Sequence[resources.Endpoint]:
        """Returns the endpoints of a service that accept work."""
        return self._by_service.get(service, ())

    def rebuild(
        self, endpoints: Iterable[resources.Endpoint]
    ) -> Exception | None:
        """Replaces all endpoints and calls all listeners.

        Returns:
            The first failure of a listener. The others were called
            nevertheless.
        """
        self._by_service = {}
        self.by_name = {}
        for endpoint in endpoints:
            self.by_name[endpoint.name] = endpoint
            if not endpoint.drained:
                of_service = self._by_service.setdefault(endpoint.service, [])
                of_service.append(endpoint)
        failure: Exception | None = None
        for listener in self._listeners:
            try:
                listener(list(itertools.chain(*self._by_service.values())))
            except Exception as error:
                failure = failure or error
        return failure
