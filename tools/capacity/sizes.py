"""
tools.capacity.sizes
~~~~~~~~~~~~~~~~~~~~

Measures the size of messages between routers and of the VM list.
"""

__all__ = ('by_entries', 'by_vms')

import json
import random

from bergamotshed.routers.loadmessages import (
    LoadAnswer,
    LoadRelease,
    LoadRequest,
)
from bergamotshed.routers.messages import (
    CrashNotice,
    GossipRecord,
    Heartbeat,
    LoadVector,
    LoadVectorRequest,
    Message,
)
from bergamotshed.routers.options import FRAME_OVERHEAD_BYTES
from bergamotshed.routers.partmessages import PartsAnswered
from bergamotshed.routers.placementcodec import memory_handover_of
from bergamotshed.routers.ratemessages import (
    LimitRecord,
    LimitsKnown,
    RateAnswer,
    RateRequest,
)
from bergamotshed.routers.wire import encode
from bergamotshed.routing.memory import CachedHistory

from .linear_fit import Series

INCARNATION = 1_764_800_000_000_000
GRANT_NUMBER = 1 << 61
CHAT_BITS = 64
UNIX_MS = 1_764_800_000_000


def _frame_bytes(message: Message) -> float:
    return float(len(encode(0, message)) + FRAME_OVERHEAD_BYTES)


def _load_vector(entries: int) -> Message:
    counts = {f'engine-{number:03}': 2 for number in range(entries)}
    return LoadVector('model-07', 3, INCARNATION, GRANT_NUMBER, counts)


def _heartbeat(suspects: int) -> Message:
    records = tuple(
        GossipRecord(f'engine-{number:03}', f'router-{number:03}', 900)
        for number in range(suspects)
    )
    return Heartbeat(
        'router-123', INCARNATION, 86_400, 123_456, suspects=records
    )


def _memory_handover(chats: int) -> Message:
    rng = random.Random(chats)
    histories = [
        (
            rng.getrandbits(CHAT_BITS),
            CachedHistory(f'engine-{rng.randrange(46):03}', 9000),
        )
        for _ in range(chats)
    ]
    return memory_handover_of('model-07', 3, histories)


def _crash_notice(parts: int) -> Message:
    rng = random.Random(parts)
    sightings = tuple((rng.getrandbits(CHAT_BITS), 350) for _ in range(parts))
    fingerprint = rng.getrandbits(CHAT_BITS)
    return CrashNotice(
        'engine-123', str(UNIX_MS), (fingerprint,), 5, parts=sightings
    )


def _parts_answered(parts: int) -> Message:
    rng = random.Random(parts)
    return PartsAnswered(
        tuple((rng.getrandbits(CHAT_BITS), 5) for _ in range(parts))
    )


def _limits_known(limits: int) -> Message:
    return LimitsKnown(
        tuple(
            LimitRecord(f'engine-{number:03}', UNIX_MS, 2.5, 900)
            for number in range(limits)
        )
    )


def by_entries(sizes: tuple[int, ...]) -> list[Series]:
    """Measure messages by their number of entries."""
    fixed = (
        ('load vector request', LoadVectorRequest('model-07', 3)),
        ('rate request', RateRequest('engine-123', UNIX_MS, 2.5, 180)),
        (
            'load request',
            LoadRequest('engine-123', UNIX_MS, 12.3456789, 14_000),
        ),
        ('load answer', LoadAnswer(GRANT_NUMBER, 12)),
        ('load release', LoadRelease(GRANT_NUMBER)),
        ('rate answer', RateAnswer(is_granted=True, wait=120)),
    )
    rows = (
        ('load vector', 'upstreams', _load_vector),
        ('heartbeat', 'suspicions', _heartbeat),
        ('memory handover', 'chats', _memory_handover),
        ('crash notice', 'parts', _crash_notice),
        ('parts answered', 'parts', _parts_answered),
        ('limits known', 'limits', _limits_known),
    )
    return [
        Series(
            name,
            'B',
            variable,
            sizes,
            tuple(_frame_bytes(build(size)) for size in sizes),
        )
        for name, variable, build in rows
    ] + [
        Series(name, 'B', 'none', sizes, (_frame_bytes(message),) * len(sizes))
        for name, message in fixed
    ]


def by_vms(sizes: tuple[int, ...]) -> list[Series]:
    """Measure the VM list in the format of the platform's stand-in."""
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
