from datetime import timedelta

import pytest

from bergamotshed.forwarding.dialect import RequestMalformed
from bergamotshed.forwarding.types import (
    PromptPart,
    RequestMetadata,
    RoutedRequest,
)
from bergamotshed.platform.headers import PlatformDialect
from bergamotshed.upstreams.types import (
    AnswerHead,
    Delimitation,
    Headers,
    ReportedLoad,
)

DIALECT = PlatformDialect()
METADATA = RequestMetadata('i-1', 'org', 2, timedelta(milliseconds=1500))


def read(*headers: tuple[bytes, bytes], body: bytes = b'') -> RoutedRequest:
    return DIALECT.read_request(
        'POST',
        '/a/b?c=1',
        ((b'Host', b'h.example'), (b'Bergamotshed-Attempt-Id', b'x'), *headers),
        body,
        0,
    )


def written_headers(request: RoutedRequest) -> dict[str, str]:
    head = DIALECT.write_head(request, METADATA).partition(b'\r\n\r\n')[0]
    lines = head.decode().split('\r\n')[1:]
    return {
        name.lower(): value.strip()
        for name, _, value in (line.partition(':') for line in lines)
    }


def test_reads_the_headers_for_placement_and_deadline() -> None:
    request = read(
        (b'bergamotshed-model', b'm'),
        (b'Bergamotshed-Token-Counts', b'1460,80'),
        (b'Bergamotshed-Prompt-Prefix', b'5c:800,91:410,e4:250'),
        (b'Bergamotshed-Deadline-Ms', b'2500'),
        (b'Authorization', b'Bearer key'),
        (b'Last-Event-Id', b'4'),
        (b'Resumes', b'a0'),
    )
    assert request.shared_parts == ('5c', '91')
    assert request.prompt_parts[0] == PromptPart('5c', 800)
    assert (request.input_tokens, request.output_tokens) == (1460, 80)
    assert request.time_allowed == timedelta(milliseconds=2500)
    assert (request.api_key, request.model) == ('key', 'm')
    assert (request.last_event_id, request.resumed_attempt) == ('4', 'a0')


@pytest.mark.parametrize(
    'headers',
    [
        ((b'Bergamotshed-Attempt-Id', b''),),
        ((b'Bergamotshed-Deadline-Ms', b'soon'),),
        ((b'Bergamotshed-Deadline-Ms', b'-1'),),
        ((b'Bergamotshed-Deadline-Ms', b'inf'),),
        ((b'Bergamotshed-Deadline-Ms', b'nan'),),
    ],
)
def test_malformed_headers_are_refused(headers: Headers) -> None:
    with pytest.raises(RequestMalformed):
        read(*headers)


@pytest.mark.parametrize(
    'name',
    [
        b'Authorization',
        b'Bergamotshed-Tenant',
        b'Bergamotshed-Hold',
        b'Bergamotshed-Pin-Ms',
        b'Bergamotshed-Kv-Backup',
        b'Bergamotshed-Request-Priority',
        b'Bergamotshed-Expect-Version',
        b'Kv-From',
        b'Kv-Fetch',
        b'Connection',
        b'Transfer-Encoding',
        b'Keep-Alive',
        b'Expect',
        b'X-Named',
    ],
)
def test_headers_that_only_routers_set_are_not_forwarded(name: bytes) -> None:
    forwarded = written_headers(
        read((name, b'callers'), (b'Connection', b'close, X-Named'))
    )
    assert 'callers' not in forwarded.values()


def test_the_router_sets_its_own_headers() -> None:
    forwarded = written_headers(
        read(
            (b'Bergamotshed-Deadline-Ms', b'9000'),
            (b'Bergamotshed-Length-Hint', b'7'),
            (b'X-Other', b'kept'),
            body=b'abc',
        )
    )
    assert forwarded['bergamotshed-deadline-ms'] == '1500'
    assert forwarded['bergamotshed-expect-instance'] == 'i-1'
    assert forwarded['bergamotshed-tenant'] == 'org'
    assert forwarded['bergamotshed-request-priority'] == '2'
    assert forwarded['bergamotshed-length-hint'] == '7'
    assert forwarded['x-other'] == 'kept'
    assert forwarded['content-length'] == '3'
    assert forwarded['host'] == 'h.example'


def test_method_target_and_body_are_unchanged() -> None:
    request = read(body=b'\x00\r\n\r\n')
    sent = DIALECT.write_head(request, METADATA)
    assert sent.startswith(b'POST /a/b?c=1 HTTP/1.1\r\n')
    assert sent.find(b'\r\n\r\n') == len(sent) - 4
    assert request.body == b'\x00\r\n\r\n'


@pytest.mark.parametrize(
    ('headers', 'expected'),
    [
        (((b'Connection', b'close'),), 0),
        (((b'Keep-Alive', b'timeout=5, max=100'),), 5),
        ((), None),
    ],
)
def test_reads_how_long_a_connection_is_kept(
    headers: Headers, expected: float | None
) -> None:
    metadata = DIALECT.read_answer(
        AnswerHead(200, headers, Delimitation.LENGTH)
    )
    assert metadata.keep_alive_s == expected


@pytest.mark.parametrize(
    ('value', 'expected'),
    [
        (b'3,0,8', ReportedLoad(3, 0, 8)),
        (b'3, 1, 8', ReportedLoad(3, 1, 8)),
        (b'3,0', None),
        (b'a,b,c', None),
        (b'', None),
    ],
)
def test_reads_reported_loads(
    value: bytes, expected: ReportedLoad | None
) -> None:
    head = AnswerHead(
        200, ((b'Bergamotshed-Server-Load', value),), Delimitation.LENGTH
    )
    assert DIALECT.read_answer(head).load == expected


@pytest.mark.parametrize(
    ('headers', 'expected'),
    [
        (((b'Server-Limit', b'2.5'),), 2.5),
        (((b'server-limit', b' 3'),), 3),
        (((b'Server-Limit', b'0'),), 0),
        (((b'Server-Limit', b'-1'),), None),
        (((b'Server-Limit', b'nan'),), None),
        (((b'Server-Limit', b'inf'),), None),
        (((b'Server-Limit', b'many'),), None),
        (((b'Server-Limit', b''),), None),
        ((), None),
    ],
)
def test_reads_the_rate_that_an_upstream_takes(
    headers: Headers, expected: float | None
) -> None:
    head = AnswerHead(200, headers, Delimitation.LENGTH)
    metadata = DIALECT.read_answer(head)
    assert metadata.max_rate == expected
    assert metadata.caller_headers == ()


def test_forwards_the_headers_of_an_answer() -> None:
    head = AnswerHead(
        200,
        (
            (b'Bergamotshed-Response-Seal', b's'),
            (b'Bergamotshed-Attempt-Id', b'x'),
            (b'Content-Length', b'3'),
            (b'Connection', b'keep-alive'),
            (b'Bergamotshed-Server-Load', b'1,0,8'),
            (b'Content-Encoding', b'gzip'),
        ),
        Delimitation.LENGTH,
    )
    metadata = DIALECT.read_answer(head)
    assert dict(metadata.caller_headers) == {
        'Bergamotshed-Response-Seal': 's',
        'Bergamotshed-Attempt-Id': 'x',
        'Content-Encoding': 'gzip',
    }
    assert metadata.is_sealed
    assert metadata.is_encoded
