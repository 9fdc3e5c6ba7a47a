"""Stand-ins for calls through a peer."""

from __future__ import annotations

from tests.forwarding import deployments

ENDPOINT = deployments.plain_endpoint("s1").endpoint


class OneEndpoint:
    """A registry with one endpoint, which takes work."""

    def get(self, name):
        """Returns the endpoint of that name; ``None`` for any other."""
        return ENDPOINT if name == ENDPOINT.name else None

    def takes_work(self, name):
        """Whether an endpoint takes work."""
        return True
