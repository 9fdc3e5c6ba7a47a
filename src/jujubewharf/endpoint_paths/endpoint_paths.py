"""Puts the paths of an instance to endpoints together."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable

from jujubewharf import clock as clocks
from jujubewharf.endpoint_paths import observed_backends
from jujubewharf.endpoint_paths import path_probes
from jujubewharf.endpoint_paths import reachability as reachabilities
from jujubewharf.endpoint_paths import relay_client
from jujubewharf.endpoint_paths import relay_exchanges
from jujubewharf.endpoint_paths import relay_peers
from jujubewharf.endpoint_paths import relay_server
from jujubewharf.endpoint_paths import relayed_backends
from jujubewharf.engines import notices
from jujubewharf.forwarding import ports
from jujubewharf.forwarding import registry as registries
from jujubewharf.held_memory import memory_account
from jujubewharf.leaving import shutdown
from jujubewharf.peers import link_messages
from jujubewharf.peers import streams


class EndpointPaths:
    """Paths to endpoints: own connections, and calls that peers make.

    Args:
        backends: Client for the instance's own connections.
        clock: Time source.

    Attributes:
        reachability: Endpoints that the instance reaches by itself.
        backends: Client for endpoints over the best path.
        probes: Service that finds out when endpoints are in reach again.
    """

    def __init__(self, backends: ports.Backends, clock: clocks.Clock) -> None:
        self._clock = clock
        self.reachability = reachabilities.Reachability(clock)
        self._direct = observed_backends.ObservedBackends(
            backends, self.reachability
        )
        self.backends = relayed_backends.RelayedBackends(
            self._direct, self.reachability, clock
        )
        self.probes = path_probes.PathProbes(
            self.backends, self.reachability, clock
        )

    @property
    def is_stranded(self) -> bool:
        """Whether the instance reaches neither endpoints nor peers."""
        relay = self.backends.relay
        if relay is None or not relay.is_alone:
            return False
        return self.reachability.is_fully_cut_off

    def connect_peers(
        self,
        transport: streams.Transport,
        hello: link_messages.Hello,
        known_peers: Callable[[], Iterable[relay_peers.PeerAddress]],
        registry: registries.Registry,
        admission: shutdown.AdmissionState,
        listener: notices.Listener,
        held: memory_account.HeldMemory,
    ) -> relay_server.RelayServer:
        """Has peers make calls that this instance can't make itself.

        Args:
            transport: Dials peers.
            hello: Identity of this instance.
            known_peers: Returns the peers that this instance knows.
            registry: Registered endpoints.
            admission: Counts calls for peers as in flight.
            listener: Called with notices in endpoints' answers to peers.
            held: Account of the memory that peers' calls are held in.

        Returns:
            Makes calls for peers.
        """
        peers = relay_peers.RelayPeers(hello.domain, known_peers, self._clock)
        exchanges = relay_exchanges.RelayExchanges(
            transport, hello, peers, self.reachability, self._clock
        )
        client = relay_client.RelayClient(
            exchanges, self.reachability, self._clock
        )
        client.listener = listener
        self.backends.relay = client
        return relay_server.RelayServer(
            self._direct,
            registry,
            self.reachability,
            admission,
            peers.addresses,
            held,
            self._clock,
        )
