"""
tools.capacity.configuration
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Measures the size and processor time of configurations and of their deltas.
"""

__all__ = ('by_organisations',)

import time
from base64 import b64encode
from collections.abc import Callable
from functools import partial

import msgspec

from bergamotshed.control.records import (
    PublishDelta,
    PublishWhole,
    Refresh,
    decode_record,
    encode_record,
)
from bergamotshed.fleet import Fleet, LiveModel, Organisation, Service
from bergamotshed.fleet.delta import apply_delta, compute_delta
from bergamotshed.routers.configuration import pack_fleet

from .linear_fit import Series

MODELS = 18
REPEATS = 10
MS_PER_S = 1000
PUBLISH_ID = 'f' * 32


def build_fleet(organisations: int) -> Fleet:
    """Return a configuration with one service per model."""
    names = [f'model-{number}' for number in range(MODELS)]
    return Fleet(
        services=tuple(
            Service(
                name=name,
                models=(
                    LiveModel(
                        name=name,
                        version='2026-12-01',
                        adapters=('formal', 'brief'),
                    ),
                ),
            )
            for name in names
        ),
        organisations=tuple(
            Organisation(
                name=f'organisation-{number}',
                services=(names[number % MODELS], names[0]),
            )
            for number in range(organisations)
        ),
    )


def change_share(base: Fleet) -> Fleet:
    """Return the configuration with one organisation's share changed."""
    first, *others = base.organisations
    return msgspec.structs.replace(
        base,
        organisations=(msgspec.structs.replace(first, share=2.0), *others),
    )


def by_organisations(sizes: tuple[int, ...]) -> list[Series]:
    """Measure full copies, deltas and a pull, by organisations."""
    whole_bytes, delta_bytes, pulled_bytes, decode_ms, apply_ms = (
        [],
        [],
        [],
        [],
        [],
    )
    for size in sizes:
        base = build_fleet(size)
        delta = compute_delta(base, change_share(base))
        whole_record = encode_record(PublishWhole(PUBLISH_ID, 1, 2, base))
        delta_record = encode_record(PublishDelta(PUBLISH_ID, 1, 2, delta))
        whole_bytes.append(float(len(b64encode(whole_record))))
        delta_bytes.append(float(len(b64encode(delta_record))))
        pulled_bytes.append(float(len(pack_fleet(base))))
        refresh_record = encode_record(Refresh(1, 2, base))
        decode_ms.append(_cpu_ms(partial(decode_record, refresh_record)))
        apply_ms.append(_cpu_ms(partial(apply_delta, base, delta)))
    variable = 'organisations'
    return [
        Series(
            'whole record in the log', 'B', variable, sizes, tuple(whole_bytes)
        ),
        Series(
            'change record in the log', 'B', variable, sizes, tuple(delta_bytes)
        ),
        Series('pull from a peer', 'B', variable, sizes, tuple(pulled_bytes)),
        Series('decode a whole copy', 'ms', variable, sizes, tuple(decode_ms)),
        Series('apply a change', 'ms', variable, sizes, tuple(apply_ms)),
    ]


def _cpu_ms(action: Callable[[], object]) -> float:
    started = time.process_time()
    for _ in range(REPEATS):
        action()
    return (time.process_time() - started) / REPEATS * MS_PER_S
