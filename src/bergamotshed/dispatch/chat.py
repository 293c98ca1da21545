"""
bergamotshed.dispatch.chat
~~~~~~~~~~~~~~~~~~~~~~~~~~

Takes chat calls: checks them against the configuration, claims the key of
those that may run only once, and runs them.
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
from .background import Background
from .chat_run import ChatRun
from .claiming import claim_within
from .settled import events_of, settled_answer
from .target import chat_target
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
        self._background = Background()
        self._using = ChatDependencies(
            placer,
            engines,
            quarantine,
            boots or BootRegistry(),
            budget,
            FingerprintLocks(),
            self._background,
            clock,
        )

    def run(self, call: ChatCall) -> AsyncGenerator[Event, None]:
        """Run a chat; the last event is a finish or a failure."""
        target = chat_target(self._configuration, call)
        if isinstance(target, Refusal):
            return _given((failures.not_run(target),))
        run = ChatRun(call, target, self._using)
        if call.options.at_most_once and call.options.key:
            return self._once(call, run)
        return run.events()

    async def drain(self) -> None:
        """Wait for what goes on after its caller was answered."""
        await self._background.wait()

    async def _once(
        self, call: ChatCall, run: ChatRun
    ) -> AsyncGenerator[Event, None]:
        claim = await claim_within(run.deadline, self._claims, call.options)
        if isinstance(claim, Refusal):
            yield failures.not_run(claim)
            return
        if isinstance(claim, SettledAnswer):
            for kept in _repeated(claim):
                yield kept
            return
        events: asyncio.Queue[Event] = asyncio.Queue()
        self._background.start(self._run_claimed(run, claim, events))
        event: Event | None = None
        while not isinstance(event, Finish | Failure):
            event = await events.get()
            yield event

    async def _run_claimed(
        self, run: ChatRun, claim: Claim, events: asyncio.Queue[Event]
    ) -> None:
        """Run to the end even if the caller leaves, and keep the answer."""
        ending: Event | None = None
        try:
            async for event in run.events():
                ending = event
                if isinstance(event, Failure) and not run.may_have_run:
                    await self._claims.void(claim)
                events.put_nowait(event)
        finally:
            if not isinstance(ending, Finish | Failure):
                events.put_nowait(failures.unknown(Refusal(Reason.ENGINE_CUT)))
        if isinstance(ending, Finish):
            await self._claims.settle(claim, settled_answer(run.text, ending))


async def _given(events: Iterable[Event]) -> AsyncGenerator[Event, None]:
    for event in events:
        yield event


def _repeated(answer: SettledAnswer) -> tuple[Event, ...]:
    try:
        chunk, finish = events_of(answer)
    except DecodeError:
        detail = 'the key belongs to a request of another kind'
        return (failures.failed(Reason.BAD_REQUEST, detail),)
    return (chunk, finish) if chunk.text else (finish,)
