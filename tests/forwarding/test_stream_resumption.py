"""Where a stream may go on whose origin is known, unknown or not named."""

from datetime import timedelta
from typing import Any

import pytest

from bergamotshed.clock import ManualClock
from bergamotshed.forwarding.request_admission import AdmittedRequest
from bergamotshed.forwarding.stream_resumption import StreamResumption
from bergamotshed.forwarding.types import RoutedRequest
from bergamotshed.reasons import Reason, Refusal
from bergamotshed.routes.types import Repeatability, Route, ServiceShare
from bergamotshed.routing.stream_origins import (
    STREAM_LIFETIME,
    OriginUnknown,
    SharedStreamOrigins,
    StreamOrigin,
)
from bergamotshed.upstreams.types import Instance
from bergamotshed.upstreams.version_history import VersionHistory

SECOND = timedelta(seconds=1)
V1 = StreamOrigin('s', 'v1')


class FixedOrigins(SharedStreamOrigins):
    def __init__(self, found: StreamOrigin | OriginUnknown) -> None:
        self._found = found

    def record(self, attempt_id: str, origin: StreamOrigin) -> None:
        raise AssertionError('the stream has begun already')

    async def find(self, attempt_id: str) -> StreamOrigin | OriginUnknown:
        return self._found


def upstreams(*versions: str) -> list[Instance]:
    return [
        Instance(f'i-{version}', 's', '', 'a', 1, version=version)
        for version in versions
    ]


async def resume(
    found: StreamOrigin | OriginUnknown,
    *lists: tuple[str, ...],
    pause: timedelta = SECOND,
    resumed_attempt: str | None = 'first',
    last_event_id: str | None = '3',
    knows_former: bool = False,
    list_age: timedelta = timedelta(0),
    later: tuple[str, ...] | None = None,
) -> StreamOrigin | Refusal | None:
    """Resume a stream after lists of upstreams, a pause apart.

    :param knows_former: the versions of before the start were read
    :param later: the list that the store holds by then; ``None`` if it does
        not answer
    """
    clock = ManualClock()
    versions = VersionHistory(clock)

    async def confirm() -> bool:
        if later is not None:
            versions.update(upstreams(*later))
            versions.confirm(clock.boottime())
        return later is not None

    for listed in lists:
        clock.advance(pause)
        versions.update(upstreams(*listed))
        versions.confirm(clock.boottime())
    route = Route(
        'r',
        'h',
        '/',
        (ServiceShare('s'),),
        SECOND,
        SECOND,
        Repeatability.RESUMABLE,
    )
    request = RoutedRequest(
        'a',
        'GET',
        '/',
        'h',
        (),
        b'',
        0,
        last_event_id=last_event_id,
        resumed_attempt=resumed_attempt,
    )
    if knows_former:
        versions.extend(clock.boottime() - 2 * STREAM_LIFETIME.total_seconds())
    clock.advance(list_age)
    return await StreamResumption(
        FixedOrigins(found), versions, confirm, clock
    ).find_origin(request, AdmittedRequest(route, None, 's', 10))


async def test_a_new_stream_may_begin_anywhere() -> None:
    assert await resume(V1, ('v1', 'v2'), last_event_id=None) is None


async def test_a_stream_goes_on_where_it_began() -> None:
    assert await resume(V1, ('v1', 'v2')) == V1


async def test_a_service_that_the_route_left_is_refused_without_a_retry() -> (
    None
):
    refused = await resume(StreamOrigin('t', 'v1'), ('v1',))
    assert isinstance(refused, Refusal)
    assert refused.reason is Reason.ORIGIN_GONE
    assert refused.retry_after is None


@pytest.mark.parametrize('unknown', OriginUnknown)
async def test_only_a_router_that_may_find_the_origin_later_is_worth_a_retry(
    unknown: OriginUnknown,
) -> None:
    refused = await resume(unknown, ('v1', 'v2'), later=('v1', 'v2'))
    assert isinstance(refused, Refusal)
    assert refused.reason is Reason.ORIGIN_UNKNOWN
    may_be_found = unknown is OriginUnknown.UNANSWERED
    assert (refused.retry_after is not None) is may_be_found


async def test_a_router_that_can_not_read_the_list_names_a_time_to_return() -> (
    None
):
    refused = await resume(
        OriginUnknown.NOT_FOUND, ('v1',), knows_former=True, later=None
    )
    assert isinstance(refused, Refusal)
    assert refused.retry_after is not None


# name: (lists of upstreams, pause between them, whether the stream goes on)
LISTS = {
    'one version for long': ((('v1',), ('v1',)), 2 * STREAM_LIFETIME, True),
    'one version for a moment': ((('v1',), ('v1',)), SECOND, False),
    'two versions for long': (
        (('v1', 'v2'), ('v1', 'v2')),
        2 * STREAM_LIFETIME,
        False,
    ),
    'a version that has just left': (
        (('v1', 'v2'), ('v1',)),
        2 * STREAM_LIFETIME,
        False,
    ),
    'a version that left long ago': (
        (('v1', 'v2'), ('v1',), ('v1',)),
        2 * STREAM_LIFETIME,
        True,
    ),
}


@pytest.mark.parametrize('name', LISTS)
async def test_an_unknown_origin_is_deduced_from_the_only_version(
    name: str,
) -> None:
    lists, pause, goes_on = LISTS[name]
    found = await resume(
        OriginUnknown.NOT_FOUND, *lists, pause=pause, later=lists[-1]
    )
    assert (found == V1) is goes_on


# name: (list of upstreams, arguments of resume, whether the stream goes on)
UNNAMED: dict[str, tuple[tuple[str, ...], dict[str, Any], bool]] = {
    'one version': (
        ('v1',),
        {'knows_former': True, 'later': ('v1',)},
        True,
    ),
    'two versions': (
        ('v1', 'v2'),
        {'knows_former': True, 'later': ('v1', 'v2')},
        False,
    ),
    'former versions are unknown': (('v1',), {'later': ('v1',)}, False),
    'a list that is not confirmed': (('v1',), {'knows_former': True}, False),
    'an old list': (
        ('v1',),
        {'knows_former': True, 'list_age': 3 * SECOND},
        False,
    ),
    'an old list, read again': (
        ('v1',),
        {'knows_former': True, 'list_age': 3 * SECOND, 'later': ('v1',)},
        True,
    ),
    'another version since the list': (
        ('v1',),
        {'knows_former': True, 'later': ('v1', 'v2')},
        False,
    ),
}


@pytest.mark.parametrize('name', UNNAMED)
async def test_a_caller_that_names_no_attempt_needs_a_single_version(
    name: str,
) -> None:
    versions, arguments, goes_on = UNNAMED[name]
    found = await resume(V1, versions, resumed_attempt=None, **arguments)
    assert (found == V1) is goes_on
