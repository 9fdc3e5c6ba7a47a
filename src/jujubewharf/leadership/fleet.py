"""The leader and follower sides of one instance."""

from __future__ import annotations

from collections.abc import Callable
import enum
import random

from jujubewharf import clock as clocks
from jujubewharf.endpoint_paths import relay_peers
from jujubewharf.forwarding import costs
from jujubewharf.forwarding import forwarder
from jujubewharf.forwarding import lease as leases
from jujubewharf.forwarding import observations as observed
from jujubewharf.forwarding import placement as placements
from jujubewharf.forwarding import ports
from jujubewharf.forwarding import registry as registries
from jujubewharf.leadership import feeds as all_feeds
from jujubewharf.leadership import followers as all_followers
from jujubewharf.leadership import leader_link
from jujubewharf.leadership import leadership
from jujubewharf.leadership import low_accounts
from jujubewharf.leadership import placement_server as servers
from jujubewharf.leadership import plain_permit_server
from jujubewharf.leadership import shared_state
from jujubewharf.peers import counters
from jujubewharf.peers import link_messages
from jujubewharf.peers import messages
from jujubewharf.peers import origin_messages
from jujubewharf.peers import relay_messages
from jujubewharf.platform import availability as availabilities
from jujubewharf.platform import epochs

# Shares of the time limits for a change to take effect during which the
# leader's read counts as this instance's own. The rest leaves time for an own
# read of the store when the leader becomes unreachable.
_CONFIGURATION_FRESH_SHARE = 0.75
_ENDPOINTS_FRESH_SHARE = 0.5
# Multiple of the mean time an answer holds memory, after which nearly all
# earlier answers have ended.
_ENDED_AFTER_MEAN_STAYS = 2.0


class Role(enum.Enum):
    """Role of an instance: who counts what the fleet shares."""

    LEADING = "leading"
    FOLLOWING = "following"
    ALONE = "alone"


class Fleet:
    """The link of an instance to its leader, or to its followers.

    Args:
        registry: Known engines by name.
        work: Costs observed by this instance.
        state: State that all instances share.
        endpoints_end: Returns the offset up to which this instance has read the
            endpoints.
        epoch: Epoch of the store.
        clock: Clock.
        in_force_within_ms: Time limit in ms for a configuration to take effect.
        leaving_within_ms: Time limit in ms after which a leaving endpoint may
            get no new work.
        count_within_ms: Time in ms for which followers are counted after their
            links ended.

    Attributes:
        feeds: Data received from the leader.
        link: The link to the leader.
        followers: Followers of this instance; ``None`` if it can't lead.
        hello: Identity of this instance; ``None`` if it can't lead.
    """

    def __init__(
        self,
        registry: registries.Registry,
        work: costs.CostEstimates,
        state: shared_state.SharedState,
        endpoints_end: Callable[[], int],
        epoch: epochs.StoreEpoch,
        clock: clocks.Clock,
        *,
        in_force_within_ms: float,
        leaving_within_ms: float,
        count_within_ms: float,
    ) -> None:
        self._epoch = epoch
        self._clock = clock
        self._work = work
        self._state = state
        self._count_within_ms = count_within_ms
        self.feeds = leader_link.Feeds(
            all_feeds.Feed(
                epoch,
                clock,
                fresh_ms=in_force_within_ms * _CONFIGURATION_FRESH_SHARE,
            ),
            all_feeds.Feed(
                epoch,
                clock,
                fresh_ms=leaving_within_ms * _ENDPOINTS_FRESH_SHARE,
            ),
            low_accounts.LowAccounts(clock),
        )
        self.link = leader_link.LeaderLink(
            self.feeds, registry, work, state, endpoints_end, clock
        )
        self.link.on_counted = self._note_instances
        self.feeds.configurations.fetch = self.link.fetch_configuration
        self.followers: all_followers.Followers | None = None
        self.hello: link_messages.Hello | None = None
        self._last_instances: int | None = None
        self._last_counted_ms = 0.0

    @property
    def is_leading(self) -> bool:
        """Whether this instance leads."""
        return self.followers is not None and self.followers.is_leading

    @property
    def role(self) -> Role:
        """Whether this instance leads, follows or has no leader."""
        if self.is_leading:
            return Role.LEADING
        # An instance that doesn't lead refuses the link only after the
        # handshake, and a leader sends a heartbeat first.
        is_led = self.link.is_open and self.link.instances is not None
        return Role.FOLLOWING if is_led else Role.ALONE

    @property
    def role_ms(self) -> float:
        """Time for which this instance has had its role."""
        if self.is_leading:
            assert self.followers is not None
            return self.followers.leading_for_ms
        return self._clock.now_ms() - self.link.changed_ms

    def tell(self, message: messages.Message) -> None:
        """Sends a message to all followers, or to the leader.

        The message is dropped if there is neither: both sides of a new link
        exchange their whole state first.
        """
        match self.role:
            case Role.LEADING:
                assert self.followers is not None
                self.followers.broadcast(message)
            case Role.FOLLOWING:
                self.link.tell(message)
            case Role.ALONE:
                # There may be a link whose first heartbeat is on its way.
                self.link.tell(message)

    @property
    def instances(self) -> int | None:
        """Number of instances under the leader; ``None`` without one."""
        if self.is_leading:
            assert self.followers is not None
            return self.followers.instances
        return self.link.instances

    @property
    def has_placed_all(self) -> bool:
        """Whether this instance has placed all requests that engines run now.

        Placements made before this instance led are unknown to it until they
        have ended, and how long that takes is unknown until it has been
        observed.
        """
        stay_ms = self._work.memory_hold_ms
        if self.followers is None or stay_ms is None:
            return False
        return self.followers.leading_for_ms > stay_ms * _ENDED_AFTER_MEAN_STAYS

    def retry_share(self, window_ms: float) -> float:
        """Returns the share, 0 to 1, of the fleet's retries for this instance.

        The leader counts its followers, including those lost within the window.
        Without a leader an instance keeps its last share for one window. After
        that it has none, since the other instances may have divided all of it
        by then.

        Args:
            window_ms: Window in ms over which retries are counted.
        """
        share = self.equal_share()
        if self._clock.now_ms() - self._last_counted_ms > window_ms:
            return 0.0
        return share

    def equal_share(self) -> float:
        """Returns this instance's share among those counted last, 0 to 1.

        0 if it has never had a leader.
        """
        instances = self.instances
        if instances is not None:
            self._note_instances(instances)
        return (
            0.0 if self._last_instances is None else 1.0 / self._last_instances
        )

    def _note_instances(self, instances: int) -> None:
        """Notes a count, which an instance divides by once it is alone."""
        self._last_instances = instances
        self._last_counted_ms = self._clock.now_ms()

    def known_peers(self) -> list[relay_peers.PeerAddress]:
        """Returns where the instances that this one knows can be reached."""
        if self.is_leading:
            assert self.followers is not None
            hellos = [link.hello for link in self.followers.follower_links]
            return [
                relay_peers.PeerAddress(hello.address, hello.domain)
                for hello in hellos
            ]
        known = self.link.addresses
        domains: list[str | None] = list(known.domains)
        domains += [None] * (len(known.addresses) - len(domains))
        peers = [
            relay_peers.PeerAddress(address, domain)
            for address, domain in zip(known.addresses, domains, strict=False)
        ]
        link = self.link.link
        if link is not None:
            leader = link.hello
            peers.append(
                relay_peers.PeerAddress(
                    leader.address, leader.domain, is_leader=True
                )
            )
        return peers

    def new_leadership(
        self,
        name: str,
        domain: str,
        peers: ports.PeerAdapters,
        lease: leases.GroupLease,
        new_placement_server: servers.PlacementServerFactory,
        rng: random.Random,
        *,
        cores: float,
        availability: availabilities.StoreAvailability,
    ) -> leadership.Leadership:
        """Creates the service that elects, leads and follows.

        Args:
            name: Name of this instance.
            domain: Its failure domain.
            peers: Connects to other instances.
            lease: Lease of the leader.
            new_placement_server: Creates the placement server of one follower.
            rng: Random jitter of elections.
            cores: Processor capacity of this instance, in reference cores.
            availability: Whether the store answers this instance.
        """
        hello = self.hello = link_messages.Hello(
            name,
            domain,
            peers.address,
            rng.getrandbits(_INCARNATION_BITS),
            capabilities=(
                relay_messages.CAPABILITY,
                relay_messages.BODY_CAPABILITY,
                origin_messages.CAPABILITY,
                origin_messages.REPLICA_CAPABILITY,
                origin_messages.STORE_CAPABILITY,
            ),
        )
        counts = counters.PeerCounters()
        self.followers = all_followers.Followers(
            hello,
            new_placement_server,
            counts,
            self._epoch,
            self._clock,
            self._state,
            count_within_ms=self._count_within_ms,
        )
        self.followers.on_counted = self._note_instances
        return leadership.Leadership(
            peers.leaders,
            peers.transport,
            hello,
            self.followers,
            self.link,
            lease,
            counts,
            self._clock,
            rng,
            cores=cores,
            availability=availability,
        )


# Wide enough that two starts of one instance never draw the same value.
_INCARNATION_BITS = 48


def placement_server_factory(
    placement: placements.Placement,
    observations: observed.Observer,
    source: forwarder.ActiveConfiguration,
    fleet_costs: costs.FleetCostEstimator,
    quotas: servers.FollowerQuotas,
    limits: servers.FollowerLimits,
    crashes: servers.FollowerCrashes,
    new_plain_server: Callable[[], plain_permit_server.PlainPermitServer],
    clock: clocks.Clock,
) -> servers.PlacementServerFactory:
    """Returns a function that creates the placement server of a follower."""
    return lambda peer, tell: servers.PlacementServer(
        placement,
        observations,
        source,
        fleet_costs,
        quotas,
        limits,
        crashes,
        new_plain_server(),
        clock,
        use=quotas.add_follower(peer, tell),
    )
