"""Assembles streams from reordered, repeated and unrelated events."""

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

FIRST_OFFSET = 3
ANSWER_TOKENS = 12
offsets = st.integers(0, ANSWER_TOKENS - 1)


def chunk(offset: int, request: str = 'r', attempt: int = 2) -> Chunk:
    return Chunk(request, attempt, offset, f'{offset} ')


def finish(
    offset: int = ANSWER_TOKENS, request: str = 'r', attempt: int = 2
) -> Finish:
    return Finish(request, attempt, offset, 'stop', 0, 0)


class AssemblerMachine(RuleBasedStateMachine):
    """Events may arrive in any order, any number of times."""

    def __init__(self) -> None:
        super().__init__()
        self.assembler = StreamAssembler('r', 2, FIRST_OFFSET)
        self.sent_offsets: set[int] = set()
        self.is_finish_sent = False
        self.accepted: list[Chunk | Finish] = []

    def accept(self, event: Chunk | Finish) -> None:
        self.accepted.extend(self.assembler.accept(event))

    @rule(offset=offsets)
    def send_chunk(self, offset: int) -> None:
        self.sent_offsets.add(offset)
        self.accept(chunk(offset))

    @rule()
    def send_finish(self) -> None:
        self.is_finish_sent = True
        self.accept(finish())

    @rule(offset=offsets, other=st.sampled_from([('x', 2), ('r', 1), ('r', 3)]))
    def send_unrelated_events(
        self, offset: int, other: tuple[str, int]
    ) -> None:
        count_before = len(self.accepted)
        self.accept(chunk(offset, *other))
        self.accept(finish(offset, *other))
        assert len(self.accepted) == count_before

    @precondition(lambda self: not self.assembler.is_finished)
    @rule()
    def send_remaining_chunks(self) -> None:
        for offset in range(FIRST_OFFSET, ANSWER_TOKENS):
            self.send_chunk(offset)

    @invariant()
    def accepted_chunks_are_in_order(self) -> None:
        chunks = [event for event in self.accepted if isinstance(event, Chunk)]
        count = 0
        while FIRST_OFFSET + count in self.sent_offsets:
            count += 1
        assert chunks == [chunk(FIRST_OFFSET + index) for index in range(count)]

    @invariant()
    def finished_only_when_complete(self) -> None:
        is_complete = self.is_finish_sent and self.sent_offsets >= set(
            range(FIRST_OFFSET, ANSWER_TOKENS)
        )
        assert self.assembler.is_finished == is_complete
        finishes = [
            event for event in self.accepted if isinstance(event, Finish)
        ]
        assert finishes == ([finish()] if is_complete else [])


AssemblerMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None, derandomize=True
)
TestAssembler = AssemblerMachine.TestCase


def test_too_many_chunks_after_a_gap_raise_engine_cut() -> None:
    assembler = StreamAssembler('r', 2, 0)
    with pytest.raises(EngineCut):
        for offset in range(1, MAX_REORDERED_CHUNKS + 2):
            assembler.accept(chunk(offset))


@pytest.mark.parametrize('finish_offset', [0, 1])
def test_finish_before_the_last_token_raises_engine_cut(
    finish_offset: int,
) -> None:
    assembler = StreamAssembler('r', 2, 0)
    assembler.accept_all([chunk(0), chunk(1), chunk(3)])
    with pytest.raises(EngineCut):
        assembler.accept(finish(finish_offset))
