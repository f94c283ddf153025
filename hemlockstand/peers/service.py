"""The kernel service for heartbeats and calls between daemons."""

from collections.abc import Awaitable, Callable, Iterable, Mapping
from secrets import token_hex

import trio
from loguru import logger

from hemlockstand.configuration.freshness import FreshnessService
from hemlockstand.coordination.membership import MembershipView, Peer
from hemlockstand.errors import HemlockstandError
from hemlockstand.kernel import Kernel, Service, register
from hemlockstand.metrics import PEER_FAILURES, PLATFORM_FAILURES
from hemlockstand.peers import peer_pb2
from hemlockstand.peers.demands import (
    POOL_DEMAND_KEEP_SECONDS,
    Demand,
    DemandRegistry,
    PoolDemand,
    PoolTeam,
)
from hemlockstand.peers.heartbeats import HeartbeatHandler
from hemlockstand.peers.members import Member
from hemlockstand.peers.messages import (
    decode_report,
    decode_verdict,
    encode_verdict,
)
from hemlockstand.peers.names import NameIndex
from hemlockstand.peers.suspects import SuspectNotice
from hemlockstand.peers.transport import (
    PeerClient,
    PeerError,
    PeerRefusal,
    PeerServer,
    Traffic,
)
from hemlockstand.platform.interface import InstanceKind, InstanceRecord, InstanceState
from hemlockstand.platform.service import PlatformService
from hemlockstand.verdict import Verdict

log = logger.bind(module=__name__)

PROBE_CONCURRENCY = 16
STOP_GRACE_SECONDS = 1.0
# Bounds the cost of a burst of failures: at most two rounds a second of
# heartbeats to all daemons of the data centre.
NOTICE_ROUND_SECONDS = 0.5
INCARNATION_GONE = "peer_incarnation_gone"

AskFunction = Callable[[str, str], Awaitable[Verdict | None]]
ForwardFunction = Callable[[bytes], Awaitable[Verdict]]
FetchFunction = Callable[[int], Awaitable[peer_pb2.FetchReply]]
NewerFunction = Callable[[Peer], None]
NoticeFunction = Callable[[SuspectNotice], None]


@register
class PeersService(Service):
    """Exchanges heartbeats with the peers and calls them.

    The heartbeats carry the members, demand figures, notices of suspect
    executors and freshness reports.
    """

    name = "peers"
    needs = ("platform", "freshness")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        section = self.settings.peers
        secret = section.secret.encode()
        self.incarnation = f"{self.settings.daemon.name}-{token_hex(4)}"
        self.traffic = Traffic()
        self.leaving = False
        self.address = ""
        self.view = MembershipView(section.suspect_after_seconds)
        self._tracker = kernel.find("freshness", FreshnessService).tracker
        self._instances = kernel.find("platform", PlatformService).platform.instances
        self._demand_registry: DemandRegistry[str, Demand] = DemandRegistry()
        self._pool_demand_registry: DemandRegistry[PoolTeam, PoolDemand] = (
            DemandRegistry(keep_seconds=POOL_DEMAND_KEEP_SECONDS)
        )
        self._heartbeats = HeartbeatHandler(
            daemon=self.settings.daemon.name,
            incarnation=self.incarnation,
            data_centre=self.settings.daemon.data_centre,
            view=self.view,
            demand_registry=self._demand_registry,
            tracker=self._tracker,
            pool_demand_registry=self._pool_demand_registry,
        )
        self._client = PeerClient(secret, self.traffic)
        self._server = PeerServer(secret, self.traffic)
        self._ask_handler: AskFunction | None = None
        self._forward_handler: ForwardFunction | None = None
        self._fetch_handler: FetchFunction | None = None
        self._newer_handler: NewerFunction | None = None
        self._notice_added = trio.Event()

    async def start(self) -> None:
        """Listen for peers and read the instance list once."""
        self._server.handle("Exchange", self._answer_exchange)
        self._server.handle("Fetch", self._answer_fetch)
        self._server.handle("Ask", self._answer_ask)
        self._server.handle("Forward", self._answer_forward)
        listen = self.settings.listen
        port = self._server.listen(listen.host, listen.peer_port)
        self.address = f"{listen.host}:{port}"
        self._heartbeats.address = self.address
        await self._read_instances()

    async def run(self) -> None:
        """Exchange heartbeats and poll the instance list until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._poll_instances)
            nursery.start_soon(self._exchange_rounds)
            nursery.start_soon(self._announce_suspects)

    async def stop(self) -> None:
        """Tell some peers that this daemon is leaving; stop listening."""
        self.leaving = True
        await self.announce()
        await self._server.close(STOP_GRACE_SECONDS)
        self._client.close()

    def members(self) -> list[Member]:
        """Return all other daemons that are listed or were heard of."""
        return [
            Member(
                name=peer.name,
                incarnation=peer.incarnation,
                data_centre=peer.data_centre,
                address=peer.address,
                alive=heard.age < self.settings.peers.suspect_after_seconds,
                leaving=peer.leaving,
                configuration_version=peer.version,
            )
            for heard in self.view.list_peers()
            if (peer := heard.peer).name not in self.settings.peers.seeds
        ]

    def publish_demand(self, team: str, demand: Demand) -> None:
        """Set this daemon's figures of a team, to be sent in heartbeats."""
        self._demand_registry.publish(team, demand)

    def demands(self) -> Mapping[str, Mapping[str, Demand]]:
        """Return the peers' figures by daemon and team."""
        return self._demand_registry.list_peers()

    def set_names(self, pools: Iterable[str], teams: Iterable[str]) -> None:
        """Set the configured names, which messages replace with numbers."""
        self._heartbeats.names = NameIndex.make(pools, teams)

    def publish_pool_demand(self, pool_team: PoolTeam, demand: PoolDemand) -> None:
        """Set this daemon's figures of a team in a pool."""
        self._pool_demand_registry.publish(pool_team, demand)

    def pool_demands(self) -> Mapping[str, Mapping[PoolTeam, PoolDemand]]:
        """Return the figures of all peers that were heard recently."""
        return self._pool_demand_registry.list_peers()

    def announce_suspect(self, notice: SuspectNotice) -> None:
        """Notify the daemons of this data centre of a suspect executor."""
        self._heartbeats.suspect_notices.add(notice)
        self._notice_added.set()

    def handle_suspect_notice(self, function: NoticeFunction) -> None:
        """Set the function that is called with a peer's notice."""
        self._heartbeats.suspect_notices.handler = function

    def handle_ask(self, function: AskFunction) -> None:
        """Set the function that answers a peer asking for a kept outcome."""
        self._ask_handler = function

    def handle_forward(self, function: ForwardFunction) -> None:
        """Set the function that runs a request forwarded by a peer."""
        self._forward_handler = function

    def handle_fetch(self, function: FetchFunction) -> None:
        """Set the function that answers a peer that lacks changes."""
        self._fetch_handler = function

    def handle_newer_configuration(self, function: NewerFunction) -> None:
        """Set the function called if a peer has a newer configuration."""
        self._newer_handler = function

    async def ask(
        self, daemon_incarnation: str, team: str, request_id: str
    ) -> Verdict | None:
        """Ask a daemon for a kept outcome; return ``None`` if it has none.

        A daemon that was restarted in the meantime has none. Raises
        ``PeerError``, with code ``peer_unknown`` if no daemon in this
        incarnation is known.
        """
        peer = self._find_peer(daemon_incarnation)
        request = peer_pb2.AskRequest(
            team=team, request_id=request_id, incarnation=daemon_incarnation
        )
        timeout = self.settings.peers.timeout_seconds
        try:
            reply = await self._client.call(peer.address, "Ask", request, timeout)
        except PeerError as error:
            if error.code == INCARNATION_GONE:
                return None
            raise
        return decode_verdict(reply.verdict) if reply.HasField("verdict") else None

    async def forward(
        self,
        daemon_incarnation: str,
        message: bytes,
        timeout_seconds: float | None = None,
    ) -> Verdict:
        """Forward a request to another daemon and return its verdict.

        Raises ``PeerError``. With codes ``peer_unknown``, ``peer_busy``,
        ``peer_incarnation_gone`` and ``peer_method_unserved`` the peer has
        certainly not accepted the message; with any other code it may have.
        The timeout defaults to the longest deadline.
        """
        peer = self._find_peer(daemon_incarnation)
        request = peer_pb2.ForwardRequest(
            message=message, incarnation=daemon_incarnation
        )
        timeout = timeout_seconds or self.settings.requests.max_deadline_seconds
        reply = await self._client.call(peer.address, "Forward", request, timeout)
        return decode_verdict(reply)

    async def fetch(self, peer: Peer, from_version: int) -> peer_pb2.FetchReply:
        """Return the peer's changes after a version; raises ``PeerError``."""
        request = peer_pb2.FetchRequest(from_version=from_version)
        timeout = self.settings.peers.timeout_seconds
        return await self._client.call(peer.address, "Fetch", request, timeout)

    async def probe_all(self) -> list[Peer]:
        """Exchange heartbeats with all known peers.

        Returns the peers that answered, newest configuration first.
        """
        limiter = trio.CapacityLimiter(PROBE_CONCURRENCY)
        answered: list[Peer] = []

        async def probe(peer: Peer) -> None:
            async with limiter:
                reply = await self.exchange_with(peer)
            if reply is not None:
                answered.append(reply)

        self._add_seeds()
        async with trio.open_nursery() as nursery:
            for heard in self.view.list_peers():
                nursery.start_soon(probe, heard.peer)
        return sorted(answered, key=lambda peer: peer.version, reverse=True)

    async def announce(self) -> None:
        """Exchange heartbeats with this data centre and some other peers now.

        The stamp of a data centre has its newest version, so its other daemons
        have to know of a commit made here before it is acknowledged.
        """
        peers = {peer.name: peer for peer in self._choose_targets()}
        data_centre = self.settings.daemon.data_centre
        peers |= {peer.name: peer for peer in self.view.list_alive(data_centre)}
        await self._exchange_all(peers.values())

    async def exchange_with(self, peer: Peer) -> Peer | None:
        """Exchange heartbeats; return the peer as in its reply, or None."""
        sent_at = trio.current_time()
        timeout = self.settings.peers.timeout_seconds
        heartbeat = self._heartbeats.make(self.leaving, peer.data_centre)
        try:
            reply = await self._client.call(
                peer.address, "Exchange", heartbeat, timeout
            )
        except HemlockstandError as error:
            PEER_FAILURES.labels(error.code).inc()
            log.debug("heartbeat exchange with peer {} failed: {}", peer.name, error)
            return None
        if peer.name != reply.sender:
            # The address belongs to another daemon than the instance list or
            # the settings say.
            self.view.forget(peer.name)
        if reply.sender == self.settings.daemon.name:
            return None
        self._tracker.record_report(decode_report(reply), sent_at)
        return self._process_heartbeat(reply, trio.current_time() - sent_at)

    async def _announce_suspects(self) -> None:
        """Exchange heartbeats with the data centre when a notice is added.

        Notices that are added together, such as for the executors of a rack,
        share an exchange.
        """
        while True:
            await self._notice_added.wait()
            self._notice_added = trio.Event()
            await self._exchange_all(
                self.view.list_alive(self.settings.daemon.data_centre)
            )
            await trio.sleep(NOTICE_ROUND_SECONDS)

    async def _exchange_all(self, peers: Iterable[Peer]) -> None:
        async with trio.open_nursery() as nursery:
            for peer in peers:
                nursery.start_soon(self.exchange_with, peer)

    async def _poll_instances(self) -> None:
        while True:
            await trio.sleep(self.settings.platform.instance_poll_seconds)
            await self._read_instances()

    async def _read_instances(self) -> None:
        try:
            records = await self._instances.list()
        except HemlockstandError as error:
            PLATFORM_FAILURES.labels(error.code).inc()
            return
        self.view.set_candidates(
            self._make_candidate(record)
            for record in records
            if record.kind is InstanceKind.ENTRY
            and record.id != self.settings.daemon.name
        )

    def _make_candidate(self, record: InstanceRecord) -> Peer:
        """Return the peer for a record of the instance list.

        The address of an entry instance is its peer address. Without a port,
        the peer port of this daemon is assumed.
        """
        host, _, port = record.address.rpartition(":")
        if not host:
            host, port = record.address, str(self.settings.listen.peer_port)
        return Peer(
            name=record.id,
            data_centre=record.data_centre,
            address=f"{host}:{port}",
            leaving=record.state is InstanceState.LEAVING,
        )

    async def _exchange_rounds(self) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                self._add_seeds()
                for peer in self._choose_targets():
                    nursery.start_soon(self.exchange_with, peer)
                await trio.sleep(self.settings.peers.interval_seconds)

    def _choose_targets(self) -> list[Peer]:
        return self.view.choose_targets(
            self.settings.daemon.data_centre, self._tracker.stalest_data_centre()
        )

    def _add_seeds(self) -> None:
        """Add the seed addresses as candidates while no peer is alive."""
        if any(self.view.is_alive(heard.peer.name) for heard in self.view.list_peers()):
            return
        for address in self.settings.peers.seeds:
            if address != self.address:
                self.view.add_candidate(Peer(name=address, address=address))

    def _process_heartbeat(self, heartbeat: peer_pb2.Beat, age: float = 0.0) -> Peer:
        sender = self._heartbeats.apply(heartbeat, age)
        if sender.version > self._tracker.version and self._newer_handler is not None:
            self._newer_handler(sender)
        return sender

    def _find_peer(self, incarnation: str) -> Peer:
        peer = self.view.find_incarnation(incarnation)
        if peer is None:
            raise PeerError(f"no daemon in incarnation {incarnation}", "peer_unknown")
        return peer

    async def _answer_exchange(self, heartbeat: peer_pb2.Beat) -> peer_pb2.Beat:
        if heartbeat.sender != self.settings.daemon.name:
            self._tracker.record_version(heartbeat.configuration_version)
            self._process_heartbeat(heartbeat)
        return self._heartbeats.make_reply(
            heartbeat.sender, self.leaving, heartbeat.data_centre
        )

    async def _answer_fetch(
        self, request: peer_pb2.FetchRequest
    ) -> peer_pb2.FetchReply:
        if self._fetch_handler is None:
            raise PeerRefusal("no configuration yet", "peer_method_unserved")
        return await self._fetch_handler(request.from_version)

    async def _answer_ask(self, request: peer_pb2.AskRequest) -> peer_pb2.AskReply:
        self._check_incarnation(request.incarnation)
        if self._ask_handler is None:
            raise PeerRefusal("Ask is not served here", "peer_method_unserved")
        verdict = await self._ask_handler(request.team, request.request_id)
        if verdict is None:
            return peer_pb2.AskReply()
        return peer_pb2.AskReply(verdict=encode_verdict(verdict))

    async def _answer_forward(
        self, request: peer_pb2.ForwardRequest
    ) -> peer_pb2.Verdict:
        self._check_incarnation(request.incarnation)
        if self._forward_handler is None:
            raise PeerRefusal("Forward is not served here", "peer_method_unserved")
        return encode_verdict(await self._forward_handler(request.message))

    def _check_incarnation(self, incarnation: str) -> None:
        if incarnation != self.incarnation:
            raise PeerRefusal(
                f"{incarnation} is gone, here is {self.incarnation}",
                INCARNATION_GONE,
            )
