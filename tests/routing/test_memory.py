import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from bergamotshed.routing.memory import CachedHistory, ChatMemory

from .support import SEED

CHATS = st.integers(1, 6)
UPSTREAMS = st.sampled_from(['e0', 'e1', 'e2'])
MAX_BYTES_PER_CHAT = 150


class MemoryMachine(RuleBasedStateMachine):
    """Compares with a simple model of the last two upstreams of each chat."""

    def __init__(self) -> None:
        super().__init__()
        self.memory = ChatMemory(4096)
        self.model: dict[int, list[tuple[str, int]]] = {}

    @rule(chat=CHATS, upstream=UPSTREAMS, units=st.integers(1, 4000))
    def remember(self, chat: int, upstream: str, units: int) -> None:
        self.memory.remember(chat, upstream, units * 256)
        history = self.model.get(chat, [])
        others = [entry for entry in history if entry[0] != upstream]
        if history and history[0][0] == upstream:
            others = history[1:]
        self.model[chat] = [(upstream, units * 256), *others][:2]

    @rule(chat=CHATS, upstream=UPSTREAMS)
    def evict(self, chat: int, upstream: str) -> None:
        self.memory.evict(chat, upstream)
        history = self.model.pop(chat, [])
        remaining = [entry for entry in history if entry[0] != upstream]
        if remaining:
            self.model[chat] = remaining

    @rule(chunk=st.integers(1, 4))
    def export_and_merge(self, chunk: int) -> None:
        copy = ChatMemory(4096)
        for part in self.memory.export(chunk):
            assert len(part) <= chunk
            assert copy.merge(part) == len(part)
        self.memory = copy

    @invariant()
    def agrees_with_the_model(self) -> None:
        assert len(self.memory) == len(self.model)
        for chat in range(1, 7):
            history = self.model.get(chat)
            expected = None
            if history:
                former = history[1] if len(history) > 1 else ('', 0)
                expected = CachedHistory(*history[0], *former)
            assert self.memory.recall(chat) == expected


MemoryMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None, derandomize=True
)
TestMemory = MemoryMachine.TestCase


def test_remembers_the_newest_chats_within_its_limit() -> None:
    rng = random.Random(SEED)
    memory = ChatMemory(8192)
    chats = [rng.getrandbits(64) for _ in range(30_000)]
    for chat in chats:
        memory.remember(chat, 'e0', 100)
    assert 4096 < len(memory) <= 8192
    remembered = sum(memory.recall(chat) is not None for chat in chats[-2048:])
    assert remembered > 2000
    assert memory.allocated_bytes / len(memory) < MAX_BYTES_PER_CHAT


def test_merge_does_not_replace_remembered_chats() -> None:
    memory = ChatMemory(100)
    memory.remember(1, 'e1', 10)
    assert memory.merge([(1, CachedHistory('e0', 5))]) == 0
    assert memory.recall(1) == CachedHistory('e1', 10)
