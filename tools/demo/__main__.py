"""
tools.demo.__main__
~~~~~~~~~~~~~~~~~~~

Runs the main job once; exits with 1 if a promise broke.
"""

__all__ = ()

import asyncio
import subprocess
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

from tests.harness import ROOT, Cluster, ClusterPlan, running_cluster
from tests.timeline import LoadTimeline
from tests.waiting import until

from bergamotshed.fleet import Fleet
from bergamotshed.fleet.codec import decode_fleet

from .load import Workload, run_bookings, run_chats
from .report import Tally, broken_promises, table

LOAD_BOUND = 1.25
LOADED_S = 30
FLEET_FILE = 'examples/cargas_andinas.py'
PLAN = ClusterPlan(
    engines={'drafting': 9, 'booking': 3},
    plain_services={'slots': 2},
    engine_options=('--token-ms', '2', '--prefill-us', '500'),
)


def main() -> int:
    """Run and report."""
    with tempfile.TemporaryDirectory() as directory:
        tally, seconds = asyncio.run(_run(Path(directory)))
    print(table(tally, seconds))
    broken = broken_promises(tally)
    for line in broken:
        print(f'BROKEN: {line}')
    return 1 if broken else 0


async def _run(directory: Path) -> tuple[Tally, float]:
    tally = Tally()
    workload = Workload()
    async with running_cluster(PLAN, directory) as cluster:
        await _publish(cluster)
        print('4 routers, 12 engines and 2 plain services are up')
        started = time.monotonic()
        bookings = asyncio.create_task(run_bookings(cluster, workload))
        await run_chats(cluster, workload, tally.replies.append)
        tally.bookings = await bookings
        seconds = time.monotonic() - started
        await _collect(cluster, tally)
    return tally, seconds


async def _publish(cluster: Cluster) -> None:
    dump = await cluster.fetch_state(1)
    await cluster.publish(_described(), dump['configuration']['version'])
    await until(lambda: _all_loaded(cluster), LOADED_S)


async def _all_loaded(cluster: Cluster) -> bool:
    """Tell whether the homes have seen every engine load its model."""
    dumps = [
        await cluster.fetch_state(number)
        for number in range(1, PLAN.routers + 1)
    ]
    loaded = {
        engine
        for dump in dumps
        for engine, dated in dump['engines'].items()
        if dated['report']['loaded']
    }
    return loaded == set(cluster.engine_names)


def _described() -> Fleet:
    """Let the operators' library print the configuration."""
    printed = subprocess.run(
        [sys.executable, '-m', 'bergamotshed', 'print', FLEET_FILE],
        cwd=ROOT,
        env={'PYTHONPATH': f'{ROOT}/src'},
        check=True,
        capture_output=True,
    )
    return decode_fleet(printed.stdout, FLEET_FILE)


async def _collect(cluster: Cluster, tally: Tally) -> None:
    for engine in cluster.engine_names:
        record = await cluster.fetch_record(engine)
        tally.cached_tokens += record['cached_tokens']
        tally.prompt_tokens += record['prompt_tokens']
    runs = await cluster.fetch_runs()
    for service in PLAN.engines:
        engines = [
            name for name in cluster.engine_names if name.startswith(service)
        ]
        tally.timelines[service] = LoadTimeline(engines, runs, LOAD_BOUND)
    for plain in ('slots-1', 'slots-2'):
        record = await cluster.fetch_record(plain)
        tally.booked += Counter(run['key'] for run in record['runs'])
    for number in range(1, PLAN.routers + 1):
        dump = await cluster.fetch_state(number)
        tally.control_bytes.append(dump['traffic']['bytes_per_second'])
        for peer, count in dump['traffic']['peers'].items():
            tally.control_by_peer[peer] += count['sent'] + count['received']


if __name__ == '__main__':
    sys.exit(main())
