"""
bergamotshed.operators.inspection_commands
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The commands that ask a running router what it does and why.
"""

__all__ = ('ExplainCommand', 'StateCommand', 'StatusCommand')

import asyncio
from typing import Any, ClassVar
from urllib.parse import urlencode

import msgspec

from .command import EXIT_OK, Command, CommandError, Options, UsageError

ROUTER_OPTION = {'router': "a router's operators' address, ip:port"}
ANSWER_TIMEOUT_S = 5
STATUS_OK = 200
STATUS_NOT_READY = 503


class StatusCommand(Command):
    """Says in a few lines how a router is."""

    name = 'status'
    summary = 'say in a few lines how a router is'
    options = ROUTER_OPTION

    def run(self, options: Options) -> int:
        """Print one line per fact of the health answer."""
        body = _get(options, '/health', STATUS_OK, STATUS_NOT_READY)
        facts: dict[str, Any] = msgspec.json.decode(body)
        for name, fact in facts.items():
            print(f'{name}: {fact}')
        return EXIT_OK


class StateCommand(Command):
    """Prints all that a router holds."""

    name = 'state'
    aliases = ('dump',)
    summary = 'print the state that a router holds'
    options = ROUTER_OPTION

    def run(self, options: Options) -> int:
        """Print the state dump."""
        print(_pretty(_get(options, '/state')))
        return EXIT_OK


class ExplainCommand(Command):
    """Prints what the fleet did with one request or one engine, and why."""

    name = 'explain'
    aliases = ('why',)
    summary = 'print what was done with one request or engine, and why'
    options: ClassVar[dict[str, str]] = {
        'router': "routers' operators' addresses, parted by commas",
        'request': 'a request id',
        'engine': "an engine's VM name",
    }

    def run(self, options: Options) -> int:
        """Print what each router that answers has kept, as an object."""
        subjects = {
            name: options.named[name]
            for name in ('request', 'engine')
            if options.named[name]
        }
        if len(subjects) != 1:
            raise UsageError('one of --request and --engine is needed')
        routers = options.required('router').split(',')
        path = f'/explain?{urlencode(subjects)}'
        answers = asyncio.run(_gather(routers, path))
        print(_pretty(msgspec.json.encode(answers)))
        return EXIT_OK


def _get(options: Options, path: str, *expected: int) -> bytes:
    router = options.required('router')
    status, body = asyncio.run(_fetch(router, path))
    if status not in (expected or (STATUS_OK,)):
        raise CommandError(f'{router} answered {status}')
    return body


async def _gather(
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
    # Imported here: only these commands need an HTTP client.
    from aiohttp import ClientError, ClientSession, ClientTimeout

    timeout = ClientTimeout(total=ANSWER_TIMEOUT_S)
    try:
        async with (
            ClientSession(timeout=timeout) as session,
            session.get(f'http://{router}{path}') as response,
        ):
            return response.status, await response.read()
    except (ClientError, TimeoutError, ValueError) as error:
        raise CommandError(f'no answer from {router}: {error}') from error


def _pretty(text: bytes) -> str:
    return msgspec.json.format(text, indent=2).decode()
