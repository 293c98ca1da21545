"""Upstreams that run a request and answer it as if they had not."""

import asyncio
from collections.abc import Callable

import pytest

from tests.standins.rawupstream import RawRequest, sealed_answer
from tests.waiting import until

from .scripts import fine
from .support import UPSTREAMS, running_gateway, send_request, upstream_entry

#: Statuses that tell a caller that the request did not run.
NOT_RUN = frozenset((408, 421, 429, 503))
#: Statuses of an upstream that does not say whether the request ran.
OWN_STATUSES = ('408 Slow', '429 Busy', '503 Busy')
LARGE_BODY = bytes(400_000)
EARLIER = 'earlier'
PATHS = ('/once/a', '/reroutable/a', '/stream/a')

#: Returns what an upstream writes after it has run a request.
AnswerForm = Callable[[RawRequest], bytes]


def refusal(attempt: str) -> bytes:
    return (
        'HTTP/1.1 503 Busy\r\nBergamotshed-Not-Executed: 1\r\n'
        f'Bergamotshed-Attempt-Id: {attempt}\r\nContent-Length: 0\r\n\r\n'
    ).encode()


def cut_refusal(length: int) -> AnswerForm:
    """Return a form that writes a part of an earlier refusal first."""
    return lambda request: (
        refusal(EARLIER)[:length] + sealed_answer(request, b'fine')
    )


def two_attempts(request: RawRequest) -> bytes:
    own = f'Bergamotshed-Attempt-Id: {request.attempt}\r\nContent-Length'
    return refusal(EARLIER).replace(b'Content-Length', own.encode())


def not_run_with(status: str) -> AnswerForm:
    """Return a form whose status says that it ran, and a header not."""
    return lambda request: sealed_answer(
        request, status=status, extra='Bergamotshed-Not-Executed: 1'
    )


def with_status(status: str) -> AnswerForm:
    return lambda request: sealed_answer(request, b'x', status)


def large(status: str) -> AnswerForm:
    return lambda request: sealed_answer(request, LARGE_BODY, status)


FORMS = {
    **{
        f'cut at {length}': cut_refusal(length)
        for length in range(1, len(refusal(EARLIER)))
    },
    'two attempts': two_attempts,
    **{status: with_status(status) for status in OWN_STATUSES},
    **{f'{status}, large': large(status) for status in OWN_STATUSES},
    'not run, 200': not_run_with('200 OK'),
    'not run, 500': not_run_with('500 Failed'),
    'not run, 504': not_run_with('504 Late'),
}


@pytest.mark.parametrize('form', FORMS.values(), ids=list(FORMS))
async def test_a_request_that_ran_is_not_taken_for_refused(
    form: AnswerForm,
) -> None:
    used: set[asyncio.StreamWriter] = set()
    is_used = False

    async def faulty(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        nonlocal is_used
        if writer in used:
            is_used = True
            writer.write(form(request))
            return
        used.add(writer)
        await fine(request, writer)

    async with running_gateway(faulty, faulty) as setup:
        for number, path in enumerate(PATHS * 3):
            attempt = f'a{number}'
            response = await send_request(setup.port, path, attempt=attempt)
            assert response.status not in NOT_RUN
            runs = [run for run in setup.runs if run.attempt == attempt]
            assert len(runs) == 1
    assert is_used


async def test_a_repeated_refusal_of_the_same_attempt_is_not_believed() -> None:
    # An attempt that was sent twice to one address was refused by the answer to
    # its first arrival, while the second one ran.
    ran: list[str] = []
    refusals: dict[asyncio.StreamWriter, bytes] = {}

    async def repeats(
        request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        if writer in refusals:
            ran.append(request.attempt)
        else:
            refusals[writer] = refusal(request.attempt).replace(
                b'503 Busy', b'421 Misdirected'
            )
        writer.write(refusals[writer])

    async with running_gateway(repeats, fine) as setup:
        former = setup.upstreams[0].address
        for name in ('i-7', 'i-8', 'i-9'):
            setup.store.put(UPSTREAMS, name, upstream_entry(former))
        registry = setup.gateway.fleet.registry
        await until(lambda: len(registry.members('s')) == 5)
        for number in range(6):
            attempt = f'a{number}'
            response = await send_request(
                setup.port, '/reroutable/a', attempt=attempt
            )
            runs = [
                run
                for run in setup.upstreams[1].requests
                if run.attempt == attempt
            ]
            assert ran.count(attempt) + len(runs) <= 1
            if attempt in ran:
                assert response.status not in NOT_RUN
