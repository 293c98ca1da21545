"""
tests.standins.answers
~~~~~~~~~~~~~~~~~~~~~~

The answer text of the stand-in engine. It is a function of the request, so
that a test can check each answer against its own request.
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

MIN_ANSWER_TOKENS = 6
ANSWER_TOKENS_RANGE = 20
Messages = Iterable[Mapping[str, str]]


def digest(messages: Messages) -> str:
    """Return a short hash of the messages' roles and contents."""
    state = hashlib.blake2b(digest_size=8)
    for message in messages:
        state.update(f'{message["role"]}\0{message["content"]}\1'.encode())
    return state.hexdigest()


def prompt_option(messages: Messages, name: str) -> str:
    """Return VALUE of the word ``name=VALUE`` in the last message, or ''."""
    content = list(messages)[-1]['content']
    for word in content.split():
        if word.startswith(f'{name}='):
            return word.removeprefix(f'{name}=')
    return ''


def answer_tokens(messages: Messages, max_tokens: int = 256) -> list[str]:
    """Return the answer's tokens; the word ``tokens=N`` sets their number."""
    turns = list(messages)
    hash_hex = digest(turns)
    requested_count = prompt_option(turns, 'tokens')
    count = MIN_ANSWER_TOKENS + int(hash_hex, 16) % ANSWER_TOKENS_RANGE
    count = min(int(requested_count) if requested_count else count, max_tokens)
    return [f'{hash_hex[:6]}.{index} ' for index in range(count)]


def answer_text(messages: Messages, max_tokens: int = 256) -> str:
    """Return the text of the complete answer."""
    return ''.join(answer_tokens(messages, max_tokens))


def prompt_tokens(content: str) -> int:
    """Return the number of tokens of a message: one per word."""
    return len(content.split())
