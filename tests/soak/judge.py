"""
tests.soak.judge
~~~~~~~~~~~~~~~~

Finds broken promises in the records of callers and engines.
"""

__all__ = ('find_violations',)

from collections import defaultdict
from collections.abc import Iterator

from .callers import CallRecord
from .engines import EVENT_COUNT, EngineRun, expected_events
from .fleet import REVOKE_MS, Fleet

NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
MAX_RUNS = {'once': 1, 'stream': 1, 'twice': 2, 'resumed': 2}
MAX_DRAIN_S = 2.0
OK = 200


def find_violations(
    fleet: Fleet,
    calls: list[CallRecord],
    late_runs: list[tuple[EngineRun, float]],
) -> list[str]:
    """Return the broken promises, a line each.

    :param late_runs: runs at draining engines, with the seconds since the
        store acknowledged the drain; without those at times when routers
        were disturbed
    """
    runs: dict[str, list[EngineRun]] = defaultdict(list)
    for run in fleet.runs:
        runs[run.attempt_id].append(run)
    return [
        *(
            f'{violation}: {call.attempt_id} {call.route} {call.response}'
            for call in calls
            for violation in _violations_of(call, runs[call.attempt_id], fleet)
        ),
        *_changed_requests(runs, calls),
        *_joined_versions(runs, calls),
        *(
            f'DRAIN: {run.attempt_id} ran {late_s:.2f} s after the drain began'
            for run, late_s in late_runs
            if late_s > MAX_DRAIN_S
        ),
        *(
            f'EXIT: {router.name} ended by itself '
            f'with {router.unexpected_exit_codes}'
            for router in fleet.routers
            if router.unexpected_exit_codes
        ),
        *(
            f'STOP: {router.name} outlived the grace period'
            for router in fleet.routers
            if router.overdue_stops
        ),
    ]


def _violations_of(
    call: CallRecord, runs: list[EngineRun], fleet: Fleet
) -> Iterator[str]:
    status = call.response.status
    if len(runs) > MAX_RUNS[call.route]:
        yield f'TWICE ({len(runs)} runs)'
    if status in NOT_RUN_STATUSES and runs:
        yield f'REFUSED although it ran at {runs[0].engine}'
    if status == OK and not _is_own_answer(call):
        yield 'MIXED'
    revoked_at = fleet.revoked_at.get(call.key)
    if revoked_at is not None and runs:
        revoked_s = call.sent_at - revoked_at
        if revoked_s > REVOKE_MS / 1000:
            yield f'CONFIG: ran with a key revoked {revoked_s:.2f} s before'


def _is_own_answer(call: CallRecord) -> bool:
    body = call.response.body
    if call.route in {'once', 'twice'}:
        complete_body = f'{call.attempt_id} {call.target}'.encode()
    else:
        first = 0 if call.resumed is None else call.resumed.next_event
        complete_body = expected_events(call.attempt_id, first, EVENT_COUNT - 1)
    if not call.response.cut:
        return body == complete_body
    # A cut answer is the start of the complete one and ends with an event.
    return complete_body.startswith(body) and (
        not body or body.endswith(b'\n\n')
    )


def _changed_requests(
    runs: dict[str, list[EngineRun]], calls: list[CallRecord]
) -> Iterator[str]:
    sent_targets = {call.attempt_id: call.target for call in calls}
    for attempt_id, attempt_runs in runs.items():
        for run in attempt_runs:
            target = run.request.line.split()[1]
            if (
                attempt_id in sent_targets
                and sent_targets[attempt_id] != target
            ):
                yield f'UNASKED: {attempt_id} ran {target}'


def _joined_versions(
    runs: dict[str, list[EngineRun]], calls: list[CallRecord]
) -> Iterator[str]:
    """Find streams that went on at another version than they began at."""
    for call in calls:
        begun_as = call.resumed.begun_as if call.resumed else call.attempt_id
        origins = [run for run in runs[begun_as] if not _goes_on(run)]
        for run in runs[call.attempt_id]:
            if _goes_on(run) and origins and run.version != origins[-1].version:
                yield (
                    f'ORDER: {begun_as} began at {origins[-1].version} '
                    f'and went on as {call.attempt_id} at {run.version}'
                )


def _goes_on(run: EngineRun) -> bool:
    return 'last-event-id' in run.request.headers
