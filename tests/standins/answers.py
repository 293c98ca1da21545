"""
tests.standins.answers
~~~~~~~~~~~~~~~~~~~~~~

The text that a stand-in engine answers with, so that anyone can check an
answer against its own request.
"""

__all__ = (
    'answer_text',
    'answer_tokens',
    'digest',
    'prompt_option',
    'prompt_tokens',
)

import hashlib
from collections.abc import Iterable, Mapping

SHORTEST_ANSWER = 6
ANSWER_SPREAD = 20
Messages = Iterable[Mapping[str, str]]


def digest(messages: Messages) -> str:
    """Return a short hash of the messages' roles and contents."""
    state = hashlib.blake2b(digest_size=8)
    for message in messages:
        state.update(f'{message["role"]}\0{message["content"]}\1'.encode())
    return state.hexdigest()


def prompt_option(messages: Messages, name: str) -> str:
    """Return VALUE of a word ``name=VALUE`` in the last message."""
    content = list(messages)[-1]['content']
    for word in content.split():
        if word.startswith(f'{name}='):
            return word.removeprefix(f'{name}=')
    return ''


def answer_tokens(messages: Messages, max_tokens: int = 256) -> list[str]:
    """Return the answer's tokens; the word ``tokens=N`` sets how many."""
    turns = list(messages)
    mark = digest(turns)
    wanted = prompt_option(turns, 'tokens')
    count = SHORTEST_ANSWER + int(mark, 16) % ANSWER_SPREAD
    count = min(int(wanted) if wanted else count, max_tokens)
    return [f'{mark[:6]}.{index} ' for index in range(count)]


def answer_text(messages: Messages, max_tokens: int = 256) -> str:
    """Return the whole answer."""
    return ''.join(answer_tokens(messages, max_tokens))


def prompt_tokens(content: str) -> int:
    """Return how many tokens a message's content counts as."""
    return len(content.split())
