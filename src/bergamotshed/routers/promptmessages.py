"""
bergamotshed.routers.promptmessages
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What routers say to the homes of prompts. The tags are of one series with
those of :mod:`bergamotshed.routers.messages`.
"""

__all__ = ('PromptRead', 'ReadersAnswer', 'ReadersRequest')

from msgspec import Struct


class PromptRead(Struct, frozen=True, array_like=True, tag=22):
    """An upstream has read a prompt; told to the home of its subject.

    :ivar born: time of the upstream's start, as it says
    """

    subject: str
    upstream: str
    born: int


class ReadersRequest(Struct, frozen=True, array_like=True, tag=23):
    """Which upstreams have read a prompt."""

    subject: str


class ReadersAnswer(Struct, frozen=True, array_like=True, tag=24):
    """Upstreams with the times of their starts, the last reader first."""

    readers: tuple[tuple[str, int], ...]
