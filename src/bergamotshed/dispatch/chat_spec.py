"""
bergamotshed.dispatch.chat_spec
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Builds the requests to the placer and to engines for a chat.
"""

__all__ = ('ChatSpec',)

from collections.abc import Sequence
from datetime import timedelta

from ..engines.types import EngineRequest, Resume
from ..routing.types import PlacementRequest
from .fingerprint import (
    chat_hash,
    history_tokens,
    message_hashes,
    request_fingerprint,
)
from .target import ChatTarget
from .types import ChatCall


class ChatSpec:
    """Builds the placement requests and engine requests of one chat."""

    def __init__(self, call: ChatCall, target: ChatTarget) -> None:
        self._call = call
        self._target = target
        self._chat_hash = chat_hash(call.options.organisation, call.chat_id)
        self._fingerprint = request_fingerprint(call)
        self._parts = message_hashes(call)

    @property
    def fingerprint(self) -> int:
        """Return a hash that is equal for repeats of the request."""
        return self._fingerprint

    @property
    def parts(self) -> tuple[int, ...]:
        """Return hashes of the messages, which other chats may share."""
        return self._parts

    @property
    def service(self) -> str:
        """Return the name of the chat's service."""
        return self._target.service.name

    def placement_request(
        self,
        remaining: timedelta,
        excluded: frozenset[str],
        *,
        is_suspect: bool,
    ) -> PlacementRequest:
        """Build a request for a placement.

        A suspect request uses its fingerprint as the chat hash, so that all
        its repeats have the same home, which runs one of them at a time.

        :param remaining: time to the deadline
        :param excluded: names of upstreams that failed this chat
        :param is_suspect: the request was in flight at a crash
        """
        options = self._call.options
        return PlacementRequest(
            request=options.request_id,
            service=self.service,
            organisation=options.organisation,
            chat=self._fingerprint if is_suspect else self._chat_hash,
            model=self._target.model_key(self._call),
            history=history_tokens(self._call),
            priority=options.priority,
            deadline=remaining,
            excluded=excluded,
            suspect=is_suspect,
            preferred=options.preferred_upstream,
            fingerprint=self._fingerprint,
        )

    def engine_request(
        self, number: int, delivered_tokens: Sequence[str]
    ) -> EngineRequest:
        """Build the request of one attempt.

        :param number: 1 for the first attempt
        :param delivered_tokens: texts of the tokens that the caller already
            has; the engine resumes after them
        """
        call = self._call
        return EngineRequest(
            request=call.options.request_id,
            attempt=number,
            model=call.model,
            messages=call.messages,
            version=self._target.version,
            adapter=call.adapter,
            priority=call.options.priority,
            max_tokens=call.max_tokens,
            resume=Resume(len(delivered_tokens), ''.join(delivered_tokens))
            if delivered_tokens
            else None,
        )
