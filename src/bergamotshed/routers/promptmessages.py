"""
bergamotshed.routers.promptmessages
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Messages between routers and the homes of prompt subjects. Their tags continue
those of :mod:`bergamotshed.routers.messages`.
"""

__all__ = ('PromptRead', 'ReadersAnswer', 'ReadersRequest')

from msgspec import Struct


class PromptRead(Struct, frozen=True, array_like=True, tag=22):
    """Reports to the home of a subject that an upstream has read the prompt.

    :ivar born: start time of the upstream, as reported by itself
    """

    subject: str
    upstream: str
    born: int


class ReadersRequest(Struct, frozen=True, array_like=True, tag=23):
    """Asks the home of a subject which upstreams have read the prompt."""

    subject: str


class ReadersAnswer(Struct, frozen=True, array_like=True, tag=24):
    """Upstreams that have read a prompt, with their start times; the most
    recent reader comes first.
    """

    readers: tuple[tuple[str, int], ...]
