"""
bergamotshed.routing.peertable
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The state of each other router: its last report, whether it is silent, and
what the routers that monitor it report.
"""

__all__ = ('PeerReport', 'PeerTable')

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from ..clock import Clock
from .gossip import Gossip, GossipItem

#: A monitored router becomes suspect after this time without a report.
SUSPICION_TIMEOUT = timedelta(milliseconds=1500)

#: A longer gap between two ticks means that this router itself was paused.
MAX_TICK_GAP = timedelta(seconds=1)

#: How long a router that didn't answer is suspect if this router doesn't
#: monitor it.
UNANSWERED_TIMEOUT = timedelta(seconds=3)

#: Monitors that must report a router as silent to make it suspect here, if
#: this router doesn't monitor it.
QUORUM = 2

#: With a larger share of the monitored routers silent, this router's own
#: evidence is in doubt: it may be cut off itself.
DOUBT_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class PeerReport:
    """What a peer reports about itself and others.

    :ivar leaving: VMs that leave
    :ivar suspects: routers and upstreams that don't answer
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

    :ivar reported_at: monotonic seconds of its last report, or of when this
        router began or, after a pause, resumed to monitor it
    :ivar is_monitored: it sends its heartbeats to this router
    :ivar suspect_until: monotonic seconds; used if it isn't monitored
    """

    reported_at: float
    is_monitored: bool = True
    report: PeerReport | None = None
    is_suspect: bool = False
    suspect_until: float = 0


class PeerTable:
    """The other routers.

    :param reported: silent routers, as reported by the peers
    """

    def __init__(self, clock: Clock, reported: Gossip) -> None:
        self._clock = clock
        self._reported = reported
        self._peers: dict[str, _Peer] = {}
        self._ticked_at = clock.monotonic()

    @property
    def silent_routers(self) -> frozenset[str]:
        """Return the monitored routers that are suspect, for reporting to
        peers; none where this router may be the one that is cut off.
        """
        monitored = {
            name: peer
            for name, peer in self._peers.items()
            if peer.is_monitored
        }
        silent = frozenset(
            name for name, peer in monitored.items() if peer.is_suspect
        )
        is_in_doubt = len(silent) > DOUBT_SHARE * len(monitored)
        return frozenset() if is_in_doubt else silent

    @property
    def live_reports(self) -> tuple[PeerReport, ...]:
        """Return the last report of each router that is not suspect."""
        return tuple(
            peer.report
            for peer in self._peers.values()
            if peer.report is not None and not peer.is_suspect
        )

    def track(self, names: Iterable[str], monitored: Iterable[str]) -> None:
        """Follow these routers and no others.

        :param monitored: those that should send their heartbeats to this router
        """
        now = self._clock.monotonic()
        tracked = frozenset(names)
        for removed in self._peers.keys() - tracked:
            del self._peers[removed]
        for name in tracked - self._peers.keys():
            self._peers[name] = _Peer(now)
        monitored_names = frozenset(monitored)
        for name, peer in self._peers.items():
            if name in monitored_names and not peer.is_monitored:
                peer.reported_at = now
            peer.is_monitored = name in monitored_names

    def is_newer(self, report: PeerReport) -> bool:
        """Return whether a report is from a tracked router and newer than its
        last one.
        """
        peer = self._peers.get(report.node)
        if peer is None:
            return False
        last = peer.report
        if last is None or report.incarnation > last.incarnation:
            return True
        is_same_run = report.incarnation == last.incarnation
        return is_same_run and report.seq > last.seq

    def merge_report(self, report: PeerReport) -> bool:
        """Record a report; return whether the view of the fleet changes."""
        peer = self._peers[report.node]
        was_suspect = peer.is_suspect
        peer.report = report
        peer.reported_at = self._clock.monotonic()
        peer.is_suspect = False
        peer.suspect_until = 0
        return was_suspect

    def mark_suspect(self, name: str) -> bool:
        """Suspect a router that didn't answer; return whether that is new."""
        peer = self._peers.get(name)
        if peer is None:
            return False
        now = self._clock.monotonic()
        peer.suspect_until = now + UNANSWERED_TIMEOUT.total_seconds()
        before = peer.is_suspect
        peer.is_suspect = True
        return not before

    def is_suspect(self, name: str) -> bool:
        """Return whether a router is suspect."""
        peer = self._peers.get(name)
        return peer is not None and peer.is_suspect

    def tick(self) -> bool:
        """Update suspicions by time; return whether any changed."""
        now = self._clock.monotonic()
        was_paused = now - self._ticked_at > MAX_TICK_GAP.total_seconds()
        self._ticked_at = now
        if was_paused:
            # Reports that arrived during the pause are still unread.
            for other in self._peers.values():
                other.reported_at = now
        changed = [
            self._update(name, peer, now) for name, peer in self._peers.items()
        ]
        return any(changed)

    def _update(self, name: str, peer: _Peer, now: float) -> bool:
        before = peer.is_suspect
        if peer.is_monitored:
            horizon = now - SUSPICION_TIMEOUT.total_seconds()
            peer.is_suspect = before or peer.reported_at < horizon
        else:
            is_unanswered = now < peer.suspect_until
            is_reported = len(self._reported.origins(name)) >= QUORUM
            peer.is_suspect = is_unanswered or is_reported
        return before != peer.is_suspect
