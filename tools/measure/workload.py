"""
tools.measure.workload
~~~~~~~~~~~~~~~~~~~~~~

A seeded workload: organisations of skewed sizes, chats with growing
histories, pauses between turns.
"""

__all__ = ('Chat', 'Workload', 'WorkloadSize', 'organisation_weights')

import random
from dataclasses import dataclass
from itertools import accumulate

from bergamotshed.routing.hashing import stable_hash

ZIPF_EXPONENT = 1.1
HISTORY_SIGMA = 0.8
SHORT_PAUSE_S = 15
LONG_PAUSE_S = 90
LONG_PAUSE_SHARE = 0.3
OUTPUT_TOKENS_LOW = 60
OUTPUT_TOKENS_HIGH = 260
PROMPT_TOKENS_LOW = 40
PROMPT_TOKENS_HIGH = 400


@dataclass(frozen=True, slots=True)
class WorkloadSize:
    """Workload and fleet of one service of a user.

    :ivar rate: requests a second
    :ivar first_prompt_tokens: median tokens of a chat's first prompt
    :ivar turns: mean turns of a chat
    :ivar cache_tokens: capacity of one engine's prefix cache
    """

    title: str
    engines: int
    rate: float
    first_prompt_tokens: int
    turns: float
    cache_tokens: int
    slots: int = 32
    routers: int = 4
    organisations: int = 10


@dataclass(slots=True, eq=False)
class Chat:
    """A chat between two turns.

    :ivar prompt_tokens: new tokens of the next turn
    :ivar history_tokens: tokens that may be cached at the next turn
    :ivar upstream: engine of the previous turn, as in a placement token
    """

    number: int
    key: int
    organisation: str
    prompt_tokens: int
    rng: random.Random
    history_tokens: int = 0
    upstream: str = ''


def organisation_weights(organisations: int) -> list[float]:
    """Return the organisations' relative sizes, the largest first."""
    return [1 / (rank + 1) ** ZIPF_EXPONENT for rank in range(organisations)]


class Workload:
    """Generates chats and their turns; equal seeds give equal workloads.

    Each chat has its own random generator, so that its turns don't depend on
    the order in which chats are answered.
    """

    def __init__(self, size: WorkloadSize, seed: int) -> None:
        self.rng = random.Random(seed)
        self._seed = seed
        self._size = size
        self._chat_count = 0
        weights = organisation_weights(size.organisations)
        self._organisations = [f'org-{n}' for n in range(size.organisations)]
        self._cumulative_weights = list(accumulate(weights))

    def next_chat_gap_s(self) -> float:
        """Return seconds to the next new chat."""
        return self.rng.expovariate(self._size.rate / self._size.turns)

    def new_chat(self, organisation: str = '') -> Chat:
        """Return a chat before its first turn.

        :param organisation: the chat's organisation; random if empty
        """
        self._chat_count += 1
        organisation = (
            organisation
            or self.rng.choices(
                self._organisations, cum_weights=self._cumulative_weights
            )[0]
        )
        median = self._size.first_prompt_tokens
        prompt = median * self.rng.lognormvariate(0, HISTORY_SIGMA)
        key = stable_hash(organisation, str(self._chat_count))
        rng = random.Random(f'{self._seed}-{self._chat_count}')
        return Chat(self._chat_count, key, organisation, int(prompt) + 1, rng)

    def output_tokens(self, chat: Chat) -> int:
        """Return the length of one answer."""
        return chat.rng.randint(OUTPUT_TOKENS_LOW, OUTPUT_TOKENS_HIGH)

    def next_pause_s(self, chat: Chat) -> float | None:
        """Return seconds to the chat's next turn; ``None`` if it ended."""
        if chat.rng.random() < 1 / self._size.turns:
            return None
        is_long = chat.rng.random() < LONG_PAUSE_SHARE
        mean_s = LONG_PAUSE_S if is_long else SHORT_PAUSE_S
        return chat.rng.expovariate(1 / mean_s)

    def next_prompt_tokens(self, chat: Chat) -> int:
        """Return the new tokens of a later turn."""
        return chat.rng.randint(PROMPT_TOKENS_LOW, PROMPT_TOKENS_HIGH)
