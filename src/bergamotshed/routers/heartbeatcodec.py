"""
bergamotshed.routers.heartbeatcodec
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Converts between heartbeats and the membership's reports.
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
    """Return the heartbeat that reports this router's present view."""
    suspects = (*view.health.suspects.export(), *view.silent_routers.export())
    return Heartbeat(
        node=view.node.name,
        incarnation=incarnation,
        seq=seq,
        config_version=config_version,
        leaving=_records_of(view.leaving.export()),
        suspects=_records_of(suspects),
        cleared=_records_of(view.health.cleared.export()),
    )


def report_of(heartbeat: Heartbeat) -> PeerReport:
    """Return the report that a peer's heartbeat carries."""
    return PeerReport(
        node=heartbeat.node,
        incarnation=heartbeat.incarnation,
        seq=heartbeat.seq,
        config_version=heartbeat.config_version,
        leaving=_items_of(heartbeat.leaving),
        suspects=_items_of(heartbeat.suspects),
        cleared=_items_of(heartbeat.cleared),
    )


def _records_of(items: Iterable[GossipItem]) -> tuple[GossipRecord, ...]:
    records = [
        GossipRecord(item.name, item.origin, item.age // MILLISECOND)
        for item in items
    ]
    return tuple(dict.fromkeys(records))


def _items_of(records: Iterable[GossipRecord]) -> tuple[GossipItem, ...]:
    return tuple(
        GossipItem(record.name, record.origin, record.age * MILLISECOND)
        for record in records
    )
