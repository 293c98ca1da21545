"""
tools.demo.__main__
~~~~~~~~~~~~~~~~~~~

Runs the demo once; exits with 1 if a promise was broken.
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

from .report import DemoResult, broken_promises, format_table
from .workload import Workload, run_bookings, run_chats

LOAD_BOUND = 1.25
LOAD_TIMEOUT_S = 30
FLEET_FILE = 'examples/cargas_andinas.py'
PLAN = ClusterPlan(
    engines={'drafting': 9, 'booking': 3},
    plain_services={'slots': 2},
    engine_options=('--token-ms', '2', '--prefill-us', '500'),
)


def main() -> int:
    """Run the demo, print its report and return the exit code."""
    with tempfile.TemporaryDirectory() as directory:
        result, seconds = asyncio.run(_run(Path(directory)))
    print(format_table(result, seconds))
    broken = broken_promises(result)
    for line in broken:
        print(f'BROKEN: {line}')
    return 1 if broken else 0


async def _run(directory: Path) -> tuple[DemoResult, float]:
    result = DemoResult()
    workload = Workload()
    async with running_cluster(PLAN, directory) as cluster:
        await _publish_fleet(cluster)
        print('4 routers, 12 engines and 2 plain services are up')
        started = time.monotonic()
        bookings = asyncio.create_task(run_bookings(cluster, workload))
        await run_chats(cluster, workload, result.replies.append)
        result.bookings = await bookings
        seconds = time.monotonic() - started
        await _collect(cluster, result)
    return result, seconds


async def _publish_fleet(cluster: Cluster) -> None:
    dump = await cluster.fetch_state(1)
    await cluster.publish(_print_fleet(), dump['configuration']['version'])
    await until(lambda: _all_loaded(cluster), LOAD_TIMEOUT_S)


async def _all_loaded(cluster: Cluster) -> bool:
    """Return whether the homes know that every engine has loaded its model."""
    dumps = [
        await cluster.fetch_state(number)
        for number in range(1, PLAN.routers + 1)
    ]
    loaded = {
        engine
        for dump in dumps
        for engine, dated_report in dump['engines'].items()
        if dated_report['report']['loaded']
    }
    return loaded == set(cluster.engine_names)


def _print_fleet() -> Fleet:
    """Return the fleet that the operators' ``print`` command writes."""
    process = subprocess.run(
        [sys.executable, '-m', 'bergamotshed', 'print', FLEET_FILE],
        cwd=ROOT,
        env={'PYTHONPATH': f'{ROOT}/src'},
        check=True,
        capture_output=True,
    )
    return decode_fleet(process.stdout, FLEET_FILE)


async def _collect(cluster: Cluster, result: DemoResult) -> None:
    for engine in cluster.engine_names:
        record = await cluster.fetch_record(engine)
        result.cached_tokens += record['cached_tokens']
        result.prompt_tokens += record['prompt_tokens']
    runs = await cluster.fetch_runs()
    for service in PLAN.engines:
        engines = [
            name for name in cluster.engine_names if name.startswith(service)
        ]
        result.timelines[service] = LoadTimeline(engines, runs, LOAD_BOUND)
    for plain in ('slots-1', 'slots-2'):
        record = await cluster.fetch_record(plain)
        result.runs_by_key += Counter(run['key'] for run in record['runs'])
    for number in range(1, PLAN.routers + 1):
        dump = await cluster.fetch_state(number)
        result.control_bytes_per_s.append(dump['traffic']['bytes_per_second'])
        for peer, count in dump['traffic']['peers'].items():
            result.control_bytes_by_peer[peer] += (
                count['sent'] + count['received']
            )


if __name__ == '__main__':
    sys.exit(main())
