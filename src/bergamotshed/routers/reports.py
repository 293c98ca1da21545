"""
bergamotshed.routers.reports
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Turns what a router reports of itself and others into heartbeats and back.
"""

__all__ = ('heartbeat_of', 'report_of')

from collections.abc import Iterable
from datetime import timedelta

from ..routing.gossip import GossipItem
from ..routing.membership import Membership, PeerReport
from .messages import GossipRecord, Heartbeat

MILLISECOND = timedelta(milliseconds=1)


def heartbeat_of(
    view: Membership, incarnation: int, seq: int, config_version: int
) -> Heartbeat:
    """Return what this router has to say now."""
    suspects = (*view.health.suspects.export(), *view.silent_routers.export())
    return Heartbeat(
        node=view.node.name,
        incarnation=incarnation,
        seq=seq,
        config_version=config_version,
        leaving=_tell(view.leaving.export()),
        suspects=_tell(suspects),
        cleared=_tell(view.health.cleared.export()),
    )


def report_of(beat: Heartbeat) -> PeerReport:
    """Return a peer's report."""
    return PeerReport(
        node=beat.node,
        incarnation=beat.incarnation,
        seq=beat.seq,
        config_version=beat.config_version,
        leaving=_gossip(beat.leaving),
        suspects=_gossip(beat.suspects),
        cleared=_gossip(beat.cleared),
    )


def _tell(gossip: Iterable[GossipItem]) -> tuple[GossipRecord, ...]:
    told = [
        GossipRecord(item.name, item.origin, item.age // MILLISECOND)
        for item in gossip
    ]
    return tuple(dict.fromkeys(told))


def _gossip(told: Iterable[GossipRecord]) -> tuple[GossipItem, ...]:
    return tuple(
        GossipItem(fact.name, fact.origin, fact.age * MILLISECOND)
        for fact in told
    )
