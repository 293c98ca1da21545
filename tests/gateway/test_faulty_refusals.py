"""Upstreams that run a request and answer it as if they had not."""

import asyncio
from collections.abc import Callable

import pytest

from tests.standins.rawupstream import RawRequest, sealed_answer

from .scripts import fine
from .support import running_gateway, send_request

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
