"""
bergamotshed.platform.headers
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Converts routed requests and answers to and from the platform's headers.
"""

__all__ = ('PlatformDialect',)

from collections.abc import Iterator
from datetime import timedelta

from ..decoding import parse_amount, parse_number
from ..forwarding.dialect import Dialect, RequestMalformed
from ..forwarding.types import (
    AnswerMetadata,
    PromptPart,
    RequestMetadata,
    RoutedRequest,
)
from ..upstreams.parsing import (
    distinct_values,
    headers_by_name,
    parse_keep_alive,
    parse_load,
    parse_pause,
)
from ..upstreams.types import AnswerHead, Headers
from . import names

MILLISECOND = timedelta(milliseconds=1)
BEARER = b'bearer '
EVENT_STREAM = b'text/event-stream'
LAST_EVENT = b'last-event-id'
MAX_DEADLINE_MS = 86_400_000

#: Headers of a single connection, and those that the HTTP layer generates.
_HOP_BY_HOP_HEADERS = frozenset(
    b'connection keep-alive proxy-authenticate proxy-authorization '
    b'proxy-connection te trailer transfer-encoding upgrade content-length '
    b'expect'.split()
)
_REPLACED_HEADERS = _HOP_BY_HOP_HEADERS | {
    b'host',
    b'authorization',
    names.DEADLINE,
}
_CALLER_HEADERS = frozenset(
    (
        names.ATTEMPT,
        names.MODEL,
        names.TOKENS,
        names.PROMPT,
        names.OUTPUT_HINT,
    )
)
_INTERNAL_ANSWER_HEADERS = frozenset(
    (
        names.LEAVING,
        names.LOAD,
        names.REJECTION_TOLERANCE,
        names.REQUEST_RATE,
        names.NOT_EXECUTED,
        b'bergamotshed-instance-id',
    )
)
_BODILESS_METHODS = frozenset(('GET', 'HEAD', 'DELETE', 'OPTIONS'))


class PlatformDialect(Dialect):
    """The platform's headers of requests and answers."""

    def read_request(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        arrived_at: float,
    ) -> RoutedRequest:
        """Read a caller's request; see :meth:`Dialect.read_request`."""
        by_name = headers_by_name(headers)
        texts = {
            name: value.decode('latin-1') for name, value in by_name.items()
        }
        if not texts.get(names.ATTEMPT):
            raise RequestMalformed('the attempt id is missing')
        return RoutedRequest(
            attempt_id=texts[names.ATTEMPT],
            method=method,
            target=target,
            host=texts.get(b'host', ''),
            headers=_forwarded_headers(headers, by_name),
            body=body,
            arrived_at=arrived_at,
            api_key=_api_key(by_name.get(b'authorization', b'')),
            time_allowed=_parse_deadline(by_name.get(names.DEADLINE)),
            model=texts.get(names.MODEL, ''),
            prompt_parts=_parse_prompt(texts.get(names.PROMPT, '')),
            output_tokens=_parse_output_tokens(by_name.get(names.TOKENS, b'')),
            last_event_id=texts.get(LAST_EVENT),
            resumed_attempt=texts.get(names.RESUMED_ATTEMPT),
        )

    def write_head(
        self, request: RoutedRequest, metadata: RequestMetadata
    ) -> bytes:
        """Write the head of a request for an upstream."""
        lines = [
            f'{request.method} {request.target} HTTP/1.1'.encode('latin-1'),
            b'Host: ' + request.host.encode('latin-1'),
            *(name + b': ' + value for name, value in request.headers),
            *_router_headers(request, metadata),
            b'',
            b'',
        ]
        return b'\r\n'.join(lines)

    def read_answer(self, head: AnswerHead) -> AnswerMetadata:
        """Read the head of an answer."""
        by_name = headers_by_name(head.headers)
        content_type = by_name.get(b'content-type', b'').lower()
        encoding = by_name.get(b'content-encoding', b'identity').lower()
        return AnswerMetadata(
            status=head.status,
            attempt_id=', '.join(distinct_values(head.headers, names.ATTEMPT)),
            is_sealed=names.SEAL in by_name,
            did_not_run=names.NOT_EXECUTED in by_name,
            is_encoded=encoding != b'identity',
            is_event_stream=content_type.startswith(EVENT_STREAM),
            delimitation=head.delimitation,
            keep_alive_s=parse_keep_alive(by_name),
            load=parse_load(by_name.get(names.LOAD, b'')),
            tolerance=parse_amount(by_name.get(names.REJECTION_TOLERANCE, b'')),
            max_rate=parse_amount(by_name.get(names.REQUEST_RATE, b'')),
            is_leaving=by_name.get(names.LEAVING) == b'1',
            pause=parse_pause(head),
            caller_headers=tuple(
                (name.decode('latin-1'), value.decode('latin-1'))
                for name, value in head.headers
                if name.lower() not in _HOP_BY_HOP_HEADERS
                and name.lower() not in _INTERNAL_ANSWER_HEADERS
            ),
        )


def _router_headers(
    request: RoutedRequest, metadata: RequestMetadata
) -> Iterator[bytes]:
    remaining_ms = max(1, metadata.time_remaining // MILLISECOND)
    yield names.DEADLINE + b': %d' % remaining_ms
    yield names.INSTANCE_EXPECTED + b': ' + metadata.instance_name.encode()
    yield names.PRIORITY + b': %d' % metadata.priority
    if metadata.organisation:
        yield names.ORGANISATION + b': ' + metadata.organisation.encode()
    if metadata.cache_source:
        yield names.CACHE_SOURCE + b': ' + metadata.cache_source.encode()
    if request.last_event_id is not None:
        yield LAST_EVENT + b': ' + request.last_event_id.encode('latin-1')
    if request.body or request.method not in _BODILESS_METHODS:
        yield b'Content-Length: %d' % len(request.body)


def _forwarded_headers(
    headers: Headers, by_name: dict[bytes, bytes]
) -> Headers:
    listed = by_name.get(b'connection', b'').lower().split(b',')
    connection_headers = {name.strip() for name in listed}
    return tuple(
        (name, value)
        for name, value in headers
        if _is_forwarded(name.lower(), connection_headers)
    )


def _is_forwarded(name: bytes, connection_headers: set[bytes]) -> bool:
    if name in _CALLER_HEADERS:
        return True
    if (
        name in _REPLACED_HEADERS
        or name in connection_headers
        or name == LAST_EVENT
    ):
        return False
    return not name.startswith(names.OWN_PREFIXES)


def _api_key(authorization: bytes) -> str | None:
    if not authorization.lower().startswith(BEARER):
        return None
    return authorization[len(BEARER) :].strip().decode('latin-1')


def _parse_deadline(value: bytes | None) -> timedelta | None:
    if value is None:
        return None
    count = parse_amount(value)
    if count is None:
        raise RequestMalformed(f'deadline {value!r} is no number of ms')
    return min(count, MAX_DEADLINE_MS) * MILLISECOND


def _parse_prompt(value: str) -> tuple[PromptPart, ...]:
    parts = []
    for entry in value.split(','):
        name, _, tokens = entry.strip().partition(':')
        count = parse_number(tokens)
        if name and count is not None:
            parts.append(PromptPart(name, count))
    return tuple(parts)


def _parse_output_tokens(value: bytes) -> int:
    tokens = value.rpartition(b',')[2].strip()
    return parse_number(tokens.decode('latin-1')) or 0
