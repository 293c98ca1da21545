"""
bergamotshed.operators.inspection_commands
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The commands that inspect a running router.
"""

__all__ = ('ExplainCommand', 'StateCommand', 'StatusCommand')

import asyncio
from typing import Any, ClassVar
from urllib.parse import urlencode

import msgspec

from .command import EXIT_OK, Command, CommandError, Options, UsageError

ROUTER_OPTION = {'router': "a router's operators' address, ip:port"}
RESPONSE_TIMEOUT_S = 5
HTTP_OK = 200
HTTP_UNAVAILABLE = 503


class StatusCommand(Command):
    """Prints the health of a router."""

    name = 'status'
    summary = 'print the health of a router in a few lines'
    options = ROUTER_OPTION

    def run(self, options: Options) -> int:
        """Print one line per field of the health response."""
        body = _fetch_expected(options, '/health', HTTP_OK, HTTP_UNAVAILABLE)
        health: dict[str, Any] = msgspec.json.decode(body)
        for name, field in health.items():
            print(f'{name}: {field}')
        return EXIT_OK


class StateCommand(Command):
    """Prints the state dump of a router."""

    name = 'state'
    aliases = ('dump',)
    summary = 'print the state dump of a router'
    options = ROUTER_OPTION

    def run(self, options: Options) -> int:
        """Print the state dump."""
        print(_format_json(_fetch_expected(options, '/state')))
        return EXIT_OK


class ExplainCommand(Command):
    """Prints what the fleet did with a request or an engine, and why."""

    name = 'explain'
    aliases = ('why',)
    summary = 'print what was done with one request or engine, and why'
    options: ClassVar[dict[str, str]] = {
        'router': "routers' operators' addresses, separated by commas",
        'request': 'a request id',
        'engine': "an engine's VM name",
    }

    def run(self, options: Options) -> int:
        """Print the explanations of all routers as one JSON object."""
        query = {
            name: options.named[name]
            for name in ('request', 'engine')
            if options.named[name]
        }
        if len(query) != 1:
            raise UsageError('one of --request and --engine is needed')
        routers = options.required('router').split(',')
        path = f'/explain?{urlencode(query)}'
        answers = asyncio.run(_fetch_from_all(routers, path))
        print(_format_json(msgspec.json.encode(answers)))
        return EXIT_OK


def _fetch_expected(options: Options, path: str, *expected: int) -> bytes:
    router = options.required('router')
    status, body = asyncio.run(_fetch(router, path))
    if status not in (expected or (HTTP_OK,)):
        raise CommandError(f'{router} answered {status}')
    return body


async def _fetch_from_all(
    routers: list[str], path: str
) -> dict[str, msgspec.Raw | str]:
    answers: dict[str, msgspec.Raw | str] = {}
    failures = 0
    for router in routers:
        try:
            _, body = await _fetch(router, path)
        except CommandError as error:
            answers[router] = str(error)
            failures += 1
        else:
            answers[router] = msgspec.Raw(body)
    if failures == len(routers):
        raise CommandError('; '.join(map(str, answers.values())))
    return answers


async def _fetch(router: str, path: str) -> tuple[int, bytes]:
    # Imported here because only these commands need an HTTP client.
    from aiohttp import ClientError, ClientSession, ClientTimeout

    timeout = ClientTimeout(total=RESPONSE_TIMEOUT_S)
    try:
        async with (
            ClientSession(timeout=timeout) as session,
            session.get(f'http://{router}{path}') as response,
        ):
            return response.status, await response.read()
    except (ClientError, TimeoutError, ValueError) as error:
        raise CommandError(f'no answer from {router}: {error}') from error


def _format_json(text: bytes) -> str:
    return msgspec.json.format(text, indent=2).decode()
