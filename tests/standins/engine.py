"""
tests.standins.engine
~~~~~~~~~~~~~~~~~~~~~

A model engine: continuous batching over slots, a prefix cache, streams that
can be resumed, reattached to and cancelled, and orders. Faults besides those of
all stand-ins:

- ``chunks`` ``{"mode": "duplicate"|"reorder"|"stale"|"foreign"}`` sends wrong
  chunks;
- ``break`` and ``stall`` ``{"after": tokens}`` cut or suspend a stream;
- ``gap`` ``{"before": seq}`` drops the cache events before a sequence number;
- ``lag`` ``{"seconds", "events"}`` reports load and cache events late;
- ``obey`` and ``ignore`` make it check fencing tokens or not;
- ``crash`` crashes it, as does the word ``poison`` in the last message, or the
  word ``venom`` in any message.
"""

__all__ = ('EngineStandIn',)

import asyncio
import os
import time
import uuid
from typing import Any

from aiohttp import web

from .base import (
    StandIn,
    create_parser,
    drop_connection,
    json_body,
    refusal,
    serve,
)
from .prefixes import PrefixCache
from .runs import EngineOptions, Run, Slots
from .streams import DONE_EVENT, stream_events

POISON_WORD = 'poison'
POISON_PART_WORD = 'venom'


class EngineStandIn(StandIn):
    """An engine that answers with a text computed from the request."""

    def __init__(self, options: EngineOptions) -> None:
        super().__init__()
        self.options = options
        self.boot = options.boot or uuid.uuid4().hex[:8]
        self.cache = PrefixCache(options.cache_tokens)
        self._slots = Slots(options.slots, options.queue_size)
        self._runs_by_request: dict[str, Run] = {}
        self._run_records: list[dict[str, Any]] = []
        self._orders: list[dict[str, Any]] = []
        self._crashes: list[dict[str, Any]] = []
        self._loaded: dict[str, dict[str, Any]] = {}
        self._role = options.service
        self._fence = -1
        self._checks_fence = options.has_fencing
        self._down_until = 0.0
        self._reports: list[tuple[float, dict[str, Any]]] = []
        self._last_seq = 0

    def routes(self) -> list[web.RouteDef]:
        return [
            web.post('/v1/chat/completions', self._complete),
            web.get('/v1/requests/{id}/stream', self._reattach),
            web.post('/v1/requests/{id}/cancel', self._cancel),
            web.get('/v1/load', self._load),
            web.get('/v1/cache-events', self._cache_events),
            web.post('/v1/orders', self._order),
            web.get('/v1/kv/{chat}', self._export),
            web.put('/v1/kv/{chat}', self._import),
        ]

    def run_record(self) -> dict[str, Any]:
        return {
            'name': self.options.name,
            'boot': self.boot,
            'runs': self._run_records,
            'in_flight': self._slots.running,
            'max_in_flight': self._slots.max_running,
            'cached_tokens': sum(run['cached'] for run in self._run_records),
            'prompt_tokens': sum(run['prompt'] for run in self._run_records),
            'orders': self._orders,
            'loaded': list(self._loaded.values()),
            'role': self._role,
            'crashes': self._crashes,
        }

    def on_fault(self, fault: dict[str, Any]) -> None:
        if fault['fault'] == 'gap':
            self.cache.trim(int(fault['before']))
        elif fault['fault'] in ('obey', 'ignore'):
            self._checks_fence = fault['fault'] == 'obey'
        elif fault['fault'] == 'crash':
            self._crash('')

    def _is_down(self) -> bool:
        return time.monotonic() < self._down_until

    def _crash(self, request: str) -> None:
        self._crashes.append({'request': request, 'time': time.time()})
        if self.options.should_exit_on_crash:
            os._exit(1)
        for run in self._runs_by_request.values():
            run.abort('crashed')
        self._runs_by_request.clear()
        self.cache.clear()
        self._loaded.clear()
        self.boot = uuid.uuid4().hex[:8]
        self._down_until = time.monotonic() + self.options.down_s

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        content = await json_body(request)
        if self._is_down():
            return _drop_without_answer(request)
        if _is_poison(content['messages']):
            self._crash(content['request'])
            return _drop_without_answer(request)
        if not self._serves(content) or not self._slots.has_room():
            return refusal()
        run = Run(content, self.options)
        if not run.has_valid_resume_text():
            return web.json_response({}, status=400)
        earlier = self._runs_by_request.get(run.request)
        if earlier is not None:
            earlier.abort('replaced')
        self._runs_by_request[run.request] = run
        run.task = asyncio.create_task(self._execute(run))
        return await self._send(request, run, run.start, run.attempt)

    def _serves(self, content: dict[str, Any]) -> bool:
        if not self._loaded and not self.options.requires_loaded_model:
            return True
        name = f'{content["model"]}@{content.get("version", "")}'
        loaded = self._loaded.get(name)
        adapter = content.get('adapter', '')
        return loaded is not None and (
            not adapter or adapter in loaded['adapters']
        )

    async def _execute(self, run: Run) -> None:
        async with self._slots.acquire(run.priority):
            if run.end_reason:
                return
            run.cached_tokens = self.cache.cached_tokens(
                run.cache_key, run.messages
            )
            record = run.start_record()
            self._run_records.append(record)
            try:
                await run.produce()
            finally:
                record.update(run.end_record())
            if run.is_complete:
                self.cache.store(
                    run.cache_key, run.chat, run.messages_with_answer()
                )

    async def _send(
        self, request: web.Request, run: Run, start: int, attempt: int
    ) -> web.StreamResponse:
        response = web.StreamResponse()
        response.content_type = 'text/event-stream'
        run.listeners += 1
        event = b''
        try:
            await response.prepare(request)
            async for event in stream_events(run, start, attempt, self.faults):
                await response.write(event)
        except ConnectionError:
            drop_connection(request)
        finally:
            run.listeners -= 1
            self._cancel_if_unread(run)
        if event != DONE_EVENT:
            drop_connection(request)
        return response

    def _cancel_if_unread(self, run: Run) -> None:
        def check() -> None:
            if not run.listeners:
                run.abort('left')

        loop = asyncio.get_running_loop()
        loop.call_later(self.options.grace_s, check)

    async def _reattach(self, request: web.Request) -> web.StreamResponse:
        run = self._runs_by_request.get(request.match_info['id'])
        if self._is_down():
            return _drop_without_answer(request)
        if run is None or (run.end_reason and not run.is_complete):
            return web.json_response({}, status=404)
        start = int(request.query.get('from', 0))
        attempt = int(request.query.get('attempt', run.attempt))
        return await self._send(request, run, start, attempt)

    async def _cancel(self, request: web.Request) -> web.Response:
        run = self._runs_by_request.get(request.match_info['id'])
        if run is not None:
            run.abort('cancelled')
        return web.Response(status=204)

    async def _load(self, request: web.Request) -> web.Response:
        if self._is_down():
            return _drop_without_answer(request)
        self._last_seq += 1
        report = {
            'boot': self.boot,
            'seq': self._last_seq,
            'in_flight': self._slots.running + self._slots.waiting,
            'slots': self.options.slots,
            'cache_tokens': self.cache.tokens,
            'loaded': list(self._loaded.values()),
            'role': self._role,
        }
        now = time.monotonic()
        self._reports.append((now, report))
        lag = self.faults.find('lag')
        limit = now - (lag.number('seconds', 1) if lag else 0)
        while len(self._reports) > 1 and self._reports[1][0] <= limit:
            self._reports.pop(0)
        return web.json_response(self._reports[0][1] if lag else report)

    async def _cache_events(self, request: web.Request) -> web.Response:
        start = int(request.query.get('from', 0))
        events = [e for e in self.cache.events if e['seq'] >= start]
        if lag := self.faults.find('lag'):
            events = events[: -int(lag.number('events', 1))]
        return web.json_response(
            {
                'boot': self.boot,
                'first': self.cache.first_seq,
                'next': events[-1]['seq'] + 1 if events else start,
                'events': events,
            }
        )

    async def _order(self, request: web.Request) -> web.Response:
        order = await json_body(request)
        fence = int(order['fence'])
        is_obeyed = not (self._checks_fence and fence < self._fence)
        self._orders.append({**order, 'obeyed': is_obeyed, 'time': time.time()})
        if not is_obeyed:
            return web.json_response({'fence': self._fence}, status=409)
        self._fence = max(self._fence, fence)
        await asyncio.sleep(self.options.load_s)
        self._carry_out(order)
        return web.json_response({})

    def _carry_out(self, order: dict[str, Any]) -> None:
        name = f'{order.get("model", "")}@{order.get("version", "")}'
        if order['kind'] == 'load':
            self._loaded[name] = {
                'model': order['model'],
                'version': order['version'],
                'adapters': list(order.get('adapters', ())),
            }
        elif order['kind'] == 'unload':
            self._loaded.pop(name, None)
        else:
            self._role = order['role']

    async def _export(self, request: web.Request) -> web.Response:
        prefixes = self.cache.export_prefixes(request.match_info['chat'])
        return web.json_response(prefixes, status=200 if prefixes else 404)

    async def _import(self, request: web.Request) -> web.Response:
        prefixes = await json_body(request)
        self.cache.import_prefixes(request.match_info['chat'], prefixes)
        return web.Response(status=204)


def _is_poison(messages: list[dict[str, str]]) -> bool:
    """Return whether a chat crashes the engine."""
    words = [message['content'].split() for message in messages]
    return POISON_WORD in words[-1] or any(
        POISON_PART_WORD in message for message in words
    )


def _drop_without_answer(request: web.Request) -> web.Response:
    drop_connection(request)
    return web.Response(status=503)


def main() -> None:
    """Run the stand-in as a process."""
    parser = create_parser()
    parser.add_argument('--name', default='engine')
    parser.add_argument('--service', default='')
    parser.add_argument('--slots', type=int, default=32)
    parser.add_argument('--queue', type=int, default=64)
    parser.add_argument('--token-ms', type=float, default=5)
    parser.add_argument('--prefill-us', type=float, default=50)
    parser.add_argument('--cache-tokens', type=int, default=200_000)
    parser.add_argument('--boot', default='')
    parser.add_argument('--down-ms', type=float, default=500)
    parser.add_argument('--load-ms', type=float, default=20)
    parser.add_argument('--ignore-fencing', action='store_true')
    parser.add_argument('--strict', action='store_true')
    parser.add_argument('--exit-on-crash', action='store_true')
    arguments = parser.parse_args()
    engine = EngineStandIn(
        EngineOptions(
            name=arguments.name,
            service=arguments.service,
            slots=arguments.slots,
            queue_size=arguments.queue,
            token_s=arguments.token_ms / 1e3,
            prefill_s=arguments.prefill_us / 1e6,
            cache_tokens=arguments.cache_tokens,
            boot=arguments.boot,
            down_s=arguments.down_ms / 1e3,
            load_s=arguments.load_ms / 1e3,
            has_fencing=not arguments.ignore_fencing,
            requires_loaded_model=arguments.strict,
            should_exit_on_crash=arguments.exit_on_crash,
        )
    )
    serve(engine, arguments.address)


if __name__ == '__main__':
    main()
