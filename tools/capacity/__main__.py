"""
tools.capacity.__main__
~~~~~~~~~~~~~~~~~~~~~~~

Prints the linear fits that docs/CAPACITY.md uses.
"""

import sys
import time
from collections.abc import Callable, Sequence

from . import claims, configuration, decisions, idle_routers, peers, sizes
from .linear_fit import Series

ENGINE_COUNTS = (10, 100, 400, 820)
ORGANISATION_COUNTS = (10, 100, 500, 1700)
CHAT_COUNTS = (10_000, 40_000, 160_000)
ROUTER_COUNTS = (4, 50, 150, 350)
PEER_COUNTS = (3, 50, 150, 349)
REQUESTS_PER_S = (5, 20, 50)
PEERS_WITH_REQUESTS = 349
CLAIMS_PER_S = (2, 20, 80, 320)
MESSAGE_ENTRY_COUNTS = (1, 8, 64)
VM_COUNTS = (14, 200, 1170)
KEY_COUNTS = (1000, 10_000, 40_000)

Measurement = Callable[[], Sequence[Series | str]]

MEASUREMENTS: dict[str, Measurement] = {
    'engines': lambda: decisions.by_engines(ENGINE_COUNTS),
    'organisations': lambda: decisions.by_organisations(ORGANISATION_COUNTS),
    'chats': lambda: decisions.by_chats(CHAT_COUNTS),
    'homes': lambda: decisions.by_routers(ROUTER_COUNTS),
    'configuration': lambda: configuration.by_organisations(
        ORGANISATION_COUNTS
    ),
    'claims': lambda: claims.by_rate(CLAIMS_PER_S) + claims.by_keys(KEY_COUNTS),
    'peers': lambda: peers.by_peers(PEER_COUNTS),
    'sizes': lambda: (
        sizes.by_entries(MESSAGE_ENTRY_COUNTS) + sizes.by_vms(VM_COUNTS)
    ),
    'idle': idle_routers.measure_idle,
    'asked': lambda: peers.by_sent_requests(
        REQUESTS_PER_S, PEERS_WITH_REQUESTS
    ),
    'served': lambda: peers.by_received_requests(
        REQUESTS_PER_S, PEERS_WITH_REQUESTS
    ),
}


def main(names: list[str]) -> None:
    """Run the named measurements, or all."""
    for name in names or MEASUREMENTS:
        started = time.monotonic()
        results = MEASUREMENTS[name]()
        rows = [
            series if isinstance(series, str) else series.format_row()
            for series in results
        ]
        print(f'-- {name} ({time.monotonic() - started:.0f} s)')
        print('\n'.join(rows), flush=True)


if __name__ == '__main__':
    main(sys.argv[1:])
