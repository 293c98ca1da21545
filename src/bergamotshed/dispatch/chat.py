"""
bergamotshed.dispatch.chat
~~~~~~~~~~~~~~~~~~~~~~~~~~

Accepts chat calls: checks them against the configuration, claims the
idempotency key of at-most-once calls, and runs them.
"""

__all__ = ('ChatDispatcher',)

import asyncio
from collections.abc import AsyncGenerator, Iterable

from msgspec import DecodeError

from ..clock import Clock
from ..control.types import Claim, Claims, ConfigurationInForce, SettledAnswer
from ..engines.types import EngineClient, Finish
from ..reasons import Reason, Refusal
from ..routing.boots import BootRegistry
from ..routing.fingerprint_locks import FingerprintLocks
from ..routing.quarantine import Quarantine
from ..routing.retry import RetryBudget
from ..routing.types import Placer
from . import failures
from .attempt import ChatDependencies
from .chat_run import ChatRun
from .claiming import claim_within
from .settled_answer import decode_settled_answer, encode_settled_answer
from .target import find_chat_target
from .task_set import TaskSet
from .types import ChatCall, Event, Failure


class ChatDispatcher:
    """Runs chats until :meth:`drain`."""

    def __init__(
        self,
        configuration: ConfigurationInForce,
        placer: Placer,
        engines: EngineClient,
        claims: Claims,
        quarantine: Quarantine,
        budget: RetryBudget,
        clock: Clock,
        boots: BootRegistry | None = None,
    ) -> None:
        self._configuration = configuration
        self._claims = claims
        self._background_tasks = TaskSet()
        self._dependencies = ChatDependencies(
            placer,
            engines,
            quarantine,
            boots or BootRegistry(),
            budget,
            FingerprintLocks(),
            self._background_tasks,
            clock,
        )

    def run(self, call: ChatCall) -> AsyncGenerator[Event, None]:
        """Run a chat; the last event is a :class:`Finish` or a failure."""
        target = find_chat_target(self._configuration, call)
        if isinstance(target, Refusal):
            return _iterate((failures.not_run_failure(target),))
        run = ChatRun(call, target, self._dependencies)
        if call.options.at_most_once and call.options.idempotency_key:
            return self._run_once(call, run)
        return run.events()

    async def drain(self) -> None:
        """Wait until all background tasks have ended."""
        await self._background_tasks.wait()

    async def _run_once(
        self, call: ChatCall, run: ChatRun
    ) -> AsyncGenerator[Event, None]:
        claim = await claim_within(run.deadline, self._claims, call.options)
        if isinstance(claim, Refusal):
            yield failures.not_run_failure(claim)
            return
        if isinstance(claim, SettledAnswer):
            for settled_event in _settled_events(claim):
                yield settled_event
            return
        events: asyncio.Queue[Event] = asyncio.Queue()
        self._background_tasks.start(self._run_claimed(run, claim, events))
        event: Event | None = None
        while not isinstance(event, Finish | Failure):
            event = await events.get()
            yield event

    async def _run_claimed(
        self, run: ChatRun, claim: Claim, events: asyncio.Queue[Event]
    ) -> None:
        """Run to the end, even if the caller disconnects.

        The claim is settled if the chat finishes, and voided if the request
        certainly did not run.
        """
        last_event: Event | None = None
        try:
            async for event in run.events():
                last_event = event
                if isinstance(event, Failure) and not run.may_have_run:
                    await self._claims.void(claim)
                events.put_nowait(event)
        finally:
            if not isinstance(last_event, Finish | Failure):
                events.put_nowait(
                    failures.unknown_outcome_failure(Refusal(Reason.ENGINE_CUT))
                )
        if isinstance(last_event, Finish):
            await self._claims.settle(
                claim, encode_settled_answer(run.text, last_event)
            )


async def _iterate(events: Iterable[Event]) -> AsyncGenerator[Event, None]:
    for event in events:
        yield event


def _settled_events(answer: SettledAnswer) -> tuple[Event, ...]:
    try:
        chunk, finish = decode_settled_answer(answer)
    except DecodeError:
        detail = 'the key belongs to a request of another kind'
        return (failures.permanent_failure(Reason.BAD_REQUEST, detail),)
    return (chunk, finish) if chunk.text else (finish,)
