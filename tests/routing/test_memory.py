import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from bergamotshed.routing.memory import CachedHistory, ChatMemory

from .support import SEED

CHATS = st.integers(1, 6)
UPSTREAMS = st.sampled_from(['e0', 'e1', 'e2'])
TARGET_BYTES_A_CHAT = 150


class MemoryMachine(RuleBasedStateMachine):
    """Follows a plain model of the last two upstreams of each chat."""

    def __init__(self) -> None:
        super().__init__()
        self.memory = ChatMemory(4096)
        self.model: dict[int, list[tuple[str, int]]] = {}

    @rule(chat=CHATS, upstream=UPSTREAMS, units=st.integers(1, 4000))
    def remember(self, chat: int, upstream: str, units: int) -> None:
        self.memory.remember(chat, upstream, units * 256)
        known = self.model.get(chat, [])
        others = [entry for entry in known if entry[0] != upstream]
        if known and known[0][0] == upstream:
            others = known[1:]
        self.model[chat] = [(upstream, units * 256), *others][:2]

    @rule(chat=CHATS, upstream=UPSTREAMS)
    def evict(self, chat: int, upstream: str) -> None:
        self.memory.evict(chat, upstream)
        known = self.model.pop(chat, [])
        left = [entry for entry in known if entry[0] != upstream]
        if left:
            self.model[chat] = left

    @rule(chunk=st.integers(1, 4))
    def hand_over(self, chunk: int) -> None:
        after = ChatMemory(4096)
        for part in self.memory.export(chunk):
            assert len(part) <= chunk
            assert after.merge(part) == len(part)
        self.memory = after

    @invariant()
    def agrees(self) -> None:
        assert len(self.memory) == len(self.model)
        for chat in range(1, 7):
            known = self.model.get(chat)
            expected = None
            if known:
                former = known[1] if len(known) > 1 else ('', 0)
                expected = CachedHistory(*known[0], *former)
            assert self.memory.recall(chat) == expected


MemoryMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None, derandomize=True
)
TestMemory = MemoryMachine.TestCase


def test_keeps_the_newest_within_its_limit() -> None:
    rng = random.Random(SEED)
    memory = ChatMemory(8192)
    chats = [rng.getrandbits(64) for _ in range(30_000)]
    for chat in chats:
        memory.remember(chat, 'e0', 100)
    assert 4096 < len(memory) <= 8192
    kept = sum(memory.recall(chat) is not None for chat in chats[-2048:])
    assert kept > 2000
    assert memory.allocated_bytes / len(memory) < TARGET_BYTES_A_CHAT


def test_merge_keeps_what_is_known() -> None:
    memory = ChatMemory(100)
    memory.remember(1, 'e1', 10)
    assert memory.merge([(1, CachedHistory('e0', 5))]) == 0
    assert memory.recall(1) == CachedHistory('e1', 10)
