"""
tools.capacity.sizes
~~~~~~~~~~~~~~~~~~~~

Bytes of the messages between routers and of the VM list.
"""

__all__ = ('by_entries', 'by_vms')

import json
import random

from bergamotshed.routers.messages import (
    GossipRecord,
    Heartbeat,
    LoadVector,
    LoadVectorRequest,
    Message,
)
from bergamotshed.routers.options import FRAME_OVERHEAD_BYTES
from bergamotshed.routers.placementcodec import memory_handover_of
from bergamotshed.routers.wire import encode
from bergamotshed.routing.memory import CachedHistory

from .fit import Series

INCARNATION = 1_764_800_000_000_000
GRANT = 1 << 61
CHAT_BITS = 64


def _length(message: Message) -> float:
    return float(len(encode(0, message)) + FRAME_OVERHEAD_BYTES)


def _vector(entries: int) -> Message:
    counts = {f'engine-{number:03}': 2 for number in range(entries)}
    return LoadVector('model-07', 3, INCARNATION, GRANT, counts)


def _heartbeat(facts: int) -> Message:
    told = tuple(
        GossipRecord(f'engine-{number:03}', f'router-{number:03}', 900)
        for number in range(facts)
    )
    return Heartbeat('router-123', INCARNATION, 86_400, 123_456, suspects=told)


def _handover(chats: int) -> Message:
    rng = random.Random(chats)
    part = [
        (
            rng.getrandbits(CHAT_BITS),
            CachedHistory(f'engine-{rng.randrange(46):03}', 9000),
        )
        for _ in range(chats)
    ]
    return memory_handover_of('model-07', 3, part)


def by_entries(sizes: tuple[int, ...]) -> list[Series]:
    """Measure messages that grow with what they tell."""
    question = _length(LoadVectorRequest('model-07', 3))
    rows = (
        ('load vector', 'upstreams', _vector),
        ('heartbeat', 'facts', _heartbeat),
        ('memory handover', 'chats', _handover),
    )
    return [
        Series(
            name, 'B', by, sizes, tuple(_length(make(size)) for size in sizes)
        )
        for name, by, make in rows
    ] + [
        Series('vector question', 'B', 'none', sizes, (question,) * len(sizes))
    ]


def by_vms(sizes: tuple[int, ...]) -> list[Series]:
    """Measure the VM list as the stand-in writes it."""
    lists = [
        json.dumps(
            {
                'vms': [
                    {
                        'name': f'engine-{number:03}',
                        'role': 'engine',
                        'service': 'model-07',
                        'address': f'10.1.{number % 250}.17:8000',
                        'domain': 'domain-3',
                        'region': 'region-1',
                        'state': 'live',
                    }
                    for number in range(size)
                ]
            }
        )
        for size in sizes
    ]
    lengths = tuple(float(len(text)) for text in lists)
    return [Series('whole VM list', 'B', 'VMs', sizes, lengths)]
