"""
bergamotshed.routing.peertable
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What is known of each other router: its last report, its silence, and what
the routers that watch it say.
"""

__all__ = ('PeerReport', 'PeerTable')

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from ..clock import Clock
from .gossip import Gossip, GossipItem

#: A watched router that was silent for so long is suspect.
SUSPICION_TIMEOUT = timedelta(milliseconds=1500)

#: A longer gap between two ticks means that this router itself was paused.
OWN_PAUSE = timedelta(seconds=1)

#: How long a router that did not answer is suspect if nobody watches it
#: from here.
UNANSWERED_TIMEOUT = timedelta(seconds=3)

#: Watchers whose word makes a router suspect that is not watched from here.
QUORUM = 2

#: With more of the watched routers silent, one's own sight is in doubt.
DOUBT_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class PeerReport:
    """What a peer says of itself and of others.

    :ivar leaving: VMs that leave
    :ivar suspects: routers and upstreams that do not answer
    :ivar cleared: former suspects that answer
    """

    node: str
    incarnation: int
    seq: int
    config_version: int = -1
    leaving: tuple[GossipItem, ...] = ()
    suspects: tuple[GossipItem, ...] = ()
    cleared: tuple[GossipItem, ...] = ()


@dataclass(slots=True)
class _Peer:
    """One router.

    :ivar heard: monotonic seconds of its last report, or of its listing
    :ivar watched: its heartbeats come here
    :ivar suspect_until: monotonic seconds; for those not watched
    """

    heard: float
    watched: bool = True
    report: PeerReport | None = None
    suspect: bool = False
    suspect_until: float = 0


class PeerTable:
    """The other routers.

    :param told: suspects as told by the peers
    """

    def __init__(self, clock: Clock, told: Gossip) -> None:
        self._clock = clock
        self._told = told
        self._peers: dict[str, _Peer] = {}
        self._ticked = clock.monotonic()

    @property
    def silent_routers(self) -> frozenset[str]:
        """Return the watched routers that are suspect, to be told; none
        where this router may be the one that is cut off.
        """
        watched = {
            name: peer for name, peer in self._peers.items() if peer.watched
        }
        silent = frozenset(
            name for name, peer in watched.items() if peer.suspect
        )
        in_doubt = len(silent) > DOUBT_SHARE * len(watched)
        return frozenset() if in_doubt else silent

    @property
    def live_reports(self) -> tuple[PeerReport, ...]:
        """Return the last report of each router that is not suspect."""
        return tuple(
            peer.report
            for peer in self._peers.values()
            if peer.report is not None and not peer.suspect
        )

    def track(self, names: Iterable[str], watched: Iterable[str]) -> None:
        """Follow these routers and no others.

        :param watched: those whose heartbeats should come here
        """
        now = self._clock.monotonic()
        wanted = frozenset(names)
        for gone in self._peers.keys() - wanted:
            del self._peers[gone]
        for name in wanted - self._peers.keys():
            self._peers[name] = _Peer(now)
        heard_from = frozenset(watched)
        for known, peer in self._peers.items():
            if known in heard_from and not peer.watched:
                peer.heard = now
            peer.watched = known in heard_from

    def is_newer(self, report: PeerReport) -> bool:
        """Tell whether a report is of a followed router and newer than its
        last one.
        """
        peer = self._peers.get(report.node)
        if peer is None:
            return False
        known = peer.report
        if known is None or report.incarnation > known.incarnation:
            return True
        same = report.incarnation == known.incarnation
        return same and report.seq > known.seq

    def merge_report(self, report: PeerReport) -> bool:
        """Take a report; return whether the view of the fleet changes."""
        peer = self._peers[report.node]
        was_suspect = peer.suspect
        peer.report = report
        peer.heard = self._clock.monotonic()
        peer.suspect = False
        peer.suspect_until = 0
        return was_suspect

    def mark_suspect(self, name: str) -> bool:
        """Suspect a router that did not answer; return whether it was not."""
        peer = self._peers.get(name)
        if peer is None:
            return False
        now = self._clock.monotonic()
        peer.suspect_until = now + UNANSWERED_TIMEOUT.total_seconds()
        before = peer.suspect
        peer.suspect = True
        return not before

    def is_suspect(self, name: str) -> bool:
        """Tell whether a router is suspect."""
        peer = self._peers.get(name)
        return peer is not None and peer.suspect

    def tick(self) -> bool:
        """Let silence count; return whether any router's state changed."""
        now = self._clock.monotonic()
        paused = now - self._ticked > OWN_PAUSE.total_seconds()
        self._ticked = now
        if paused:
            # Reports that came meanwhile are still unread.
            for waiting in self._peers.values():
                waiting.heard = now
        changed = [
            self._judge(name, peer, now) for name, peer in self._peers.items()
        ]
        return any(changed)

    def _judge(self, name: str, peer: _Peer, now: float) -> bool:
        before = peer.suspect
        if peer.watched:
            horizon = now - SUSPICION_TIMEOUT.total_seconds()
            peer.suspect = before or peer.heard < horizon
        else:
            unanswered = now < peer.suspect_until
            told = len(self._told.origins(name)) >= QUORUM
            peer.suspect = unanswered or told
        return before != peer.suspect
