"""Any order of late, repeated and foreign events."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from bergamotshed.engines.assemble import MAX_REORDERED_CHUNKS, StreamAssembler
from bergamotshed.engines.types import Chunk, EngineCut, Finish

FIRST = 3
LENGTH = 12
offsets = st.integers(0, LENGTH - 1)


def chunk(offset: int, request: str = 'r', attempt: int = 2) -> Chunk:
    return Chunk(request, attempt, offset, f'{offset} ')


def finish(
    offset: int = LENGTH, request: str = 'r', attempt: int = 2
) -> Finish:
    return Finish(request, attempt, offset, 'stop', 0, 0)


class Assembling(RuleBasedStateMachine):
    """An engine that sends its events in any order, any number of times."""

    def __init__(self) -> None:
        super().__init__()
        self.assembler = StreamAssembler('r', 2, FIRST)
        self.sent: set[int] = set()
        self.ended = False
        self.given: list[Chunk | Finish] = []

    def accept(self, event: Chunk | Finish) -> None:
        self.given.extend(self.assembler.accept(event))

    @rule(offset=offsets)
    def token(self, offset: int) -> None:
        self.sent.add(offset)
        self.accept(chunk(offset))

    @rule()
    def end(self) -> None:
        self.ended = True
        self.accept(finish())

    @rule(offset=offsets, other=st.sampled_from([('x', 2), ('r', 1), ('r', 3)]))
    def foreign(self, offset: int, other: tuple[str, int]) -> None:
        before = len(self.given)
        self.accept(chunk(offset, *other))
        self.accept(finish(offset, *other))
        assert len(self.given) == before

    @precondition(lambda self: not self.assembler.is_finished)
    @rule()
    def rest(self) -> None:
        for offset in range(FIRST, LENGTH):
            self.token(offset)

    @invariant()
    def given_in_order(self) -> None:
        chunks = [event for event in self.given if isinstance(event, Chunk)]
        count = 0
        while FIRST + count in self.sent:
            count += 1
        assert chunks == [chunk(FIRST + place) for place in range(count)]

    @invariant()
    def finished_only_when_whole(self) -> None:
        whole = self.ended and self.sent >= set(range(FIRST, LENGTH))
        assert self.assembler.is_finished == whole
        finishes = [event for event in self.given if isinstance(event, Finish)]
        assert finishes == ([finish()] if whole else [])


Assembling.TestCase.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None, derandomize=True
)
TestAssembling = Assembling.TestCase


def test_a_long_gap_is_a_cut() -> None:
    assembler = StreamAssembler('r', 2, 0)
    with pytest.raises(EngineCut):
        for offset in range(1, MAX_REORDERED_CHUNKS + 2):
            assembler.accept(chunk(offset))


@pytest.mark.parametrize('end', [0, 1])
def test_a_finish_before_the_last_token_is_a_cut(end: int) -> None:
    assembler = StreamAssembler('r', 2, 0)
    assembler.accept_all([chunk(0), chunk(1), chunk(3)])
    with pytest.raises(EngineCut):
        assembler.accept(finish(end))
