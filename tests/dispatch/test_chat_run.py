"""Runs chats against an engine client that fails in random sequences."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from bergamotshed.clock import SystemClock
from bergamotshed.control.types import ConfigurationInForce
from bergamotshed.dispatch.chat import ChatDispatcher
from bergamotshed.dispatch.types import (
    CallOptions,
    ChatCall,
    Event,
    Failure,
    FailureType,
)
from bergamotshed.engines.types import (
    ChatMessage,
    Chunk,
    EngineClient,
    EngineCut,
    EngineDown,
    EngineError,
    EngineOverloaded,
    EngineRejected,
    EngineRequest,
    EngineSilent,
    Finish,
    LoadReport,
    Order,
)
from bergamotshed.routing.quarantine import Quarantine
from bergamotshed.routing.retry import RetryBudget
from bergamotshed.routing.types import Upstream
from tests.dispatch.support import FLEET, FakeClaims, FakePlacer

TOKENS = [f'{place} ' for place in range(6)]
ERRORS: dict[str, EngineError] = {
    'down': EngineDown('down'),
    'overloaded': EngineOverloaded(timedelta(seconds=1)),
    'rejected': EngineRejected(400, 'wrong'),
    'cut': EngineCut('cut'),
    'silent': EngineSilent('silent'),
}
NOT_SENT = {'down', 'overloaded', 'rejected'}


@dataclass(frozen=True)
class Connection:
    """What one connection does: it yields tokens, then fails or finishes.

    :ivar error: key of the error; empty if the answer is complete
    """

    tokens: int
    error: str


@dataclass
class ScriptedClient(EngineClient):
    """Follows the script, one connection after the other.

    The last connection of the script repeats.
    """

    script: list[Connection]
    boots: list[str]
    sent_count: int = 0
    streams: int = 0
    cancelled: list[str] = field(default_factory=list)

    def stream(
        self, address: str, request: EngineRequest
    ) -> AsyncIterator[Chunk | Finish]:
        start = request.resume.offset if request.resume else 0
        if request.resume:
            assert request.resume.text == ''.join(TOKENS[:start])
        return self._events(request, start, first=True)

    def reattach(
        self, address: str, request: EngineRequest, offset: int
    ) -> AsyncIterator[Chunk | Finish]:
        return self._events(request, offset, first=False)

    async def _events(
        self, request: EngineRequest, start: int, *, first: bool
    ) -> AsyncIterator[Chunk | Finish]:
        connection = self.script[0]
        if len(self.script) > 1:
            self.script.pop(0)
        if first and connection.error not in NOT_SENT:
            self.sent_count += 1
        if connection.error in NOT_SENT:
            raise ERRORS[connection.error]
        end = len(TOKENS) if not connection.error else connection.tokens
        for offset in range(start, max(start, end)):
            yield Chunk(
                request.request, request.attempt, offset, TOKENS[offset]
            )
        if connection.error:
            raise ERRORS[connection.error]
        yield Finish(
            request.request, request.attempt, len(TOKENS), 'stop', 1, 2
        )

    async def cancel(self, address: str, request: str) -> None:
        self.cancelled.append(address)

    async def load(self, address: str) -> LoadReport:
        boot = self.boots.pop(0) if self.boots else 'a'
        if not boot:
            raise EngineSilent('silent')
        return LoadReport(boot, 0, 0, 1, 0, '', ())

    async def order(self, address: str, order: Order) -> None:
        raise NotImplementedError


async def run_chat(
    client: ScriptedClient, *, at_most_once: bool, key: str
) -> tuple[list[Event], FakePlacer, FakeClaims]:
    clock = SystemClock()
    configuration = ConfigurationInForce()
    configuration.advance(0, FLEET)
    upstreams = [Upstream(f'e{n}', 'drafting', f'e{n}', 'a') for n in range(3)]
    placer = FakePlacer({'drafting': upstreams})
    claims = FakeClaims()
    dispatcher = ChatDispatcher(
        configuration,
        placer,
        client,
        claims,
        Quarantine(clock),
        RetryBudget(),
        clock,
    )
    call = ChatCall(
        CallOptions(
            'r', 'sierra', idempotency_key=key, at_most_once=at_most_once
        ),
        'chat',
        'draft',
        '',
        (ChatMessage('user', 'hello'),),
    )
    events = [event async for event in dispatcher.run(call)]
    await dispatcher.drain()
    return events, placer, claims


connections = st.builds(
    Connection,
    tokens=st.integers(0, len(TOKENS)),
    error=st.sampled_from(['', *ERRORS]),
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    script=st.lists(connections, min_size=1, max_size=8),
    boots=st.lists(st.sampled_from(['a', 'b', 'c', '']), max_size=6),
    at_most_once=st.booleans(),
    key=st.sampled_from(['', 'k']),
)
def test_callers_receive_the_true_outcome(
    script: list[Connection], boots: list[str], at_most_once: bool, key: str
) -> None:
    client = ScriptedClient(list(script), list(boots))
    events, placer, claims = asyncio.run(
        run_chat(client, at_most_once=at_most_once, key=key)
    )
    text = ''.join(event.text for event in events if isinstance(event, Chunk))
    final_events = [
        event for event in events if isinstance(event, Finish | Failure)
    ]
    assert ''.join(TOKENS).startswith(text)
    assert len(final_events) == 1
    assert final_events[0] is events[-1]
    assert not placer.grants
    final_event = final_events[0]
    if isinstance(final_event, Finish):
        assert text == ''.join(TOKENS)
    elif final_event.type is FailureType.REFUSED_NOT_RUN:
        assert client.sent_count == 0
        assert final_event.retry_after
    elif final_event.type is FailureType.OUTCOME_UNKNOWN:
        assert client.sent_count > 0
    if at_most_once:
        assert client.sent_count <= 1
    if at_most_once and key:
        assert bool(claims.voided) == (client.sent_count == 0)
