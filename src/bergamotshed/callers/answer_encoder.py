"""
bergamotshed.callers.answer_encoder
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Encodes answers in the common chat-completions format.
"""

__all__ = ('ChatAnswerEncoder',)

from typing import Any

from msgspec import json

from ..dispatch.types import Failure
from ..engines.types import Finish
from .errors import failure_body

DONE_EVENT = b'data: [DONE]\n\n'


class ChatAnswerEncoder:
    """Encodes the answer of one chat.

    :param request_id: unique in the fleet
    :param created: Unix time in seconds
    """

    def __init__(self, request_id: str, model: str, created: int) -> None:
        self._request_id = request_id
        self._model = model
        self._created = created
        common_fields = json.encode(self._body('chat.completion.chunk'))
        # Encoded once, as chunks differ only in their text.
        self._chunk_prefix = (
            b'data: '
            + common_fields[:-1]
            + b',"choices":[{"index":0,"delta":{"content":'
        )
        self._chunk_suffix = b'},"finish_reason":null}]}\n\n'

    def encode_chunk(self, text: str) -> bytes:
        """Encode a piece of text as a server-sent event."""
        return self._chunk_prefix + json.encode(text) + self._chunk_suffix

    def encode_finish(self, finish: Finish) -> bytes:
        """Encode the finish event and the end of the stream."""
        body = self._body('chat.completion.chunk')
        body['choices'] = [
            {'index': 0, 'delta': {}, 'finish_reason': finish.reason}
        ]
        body['usage'] = _usage(finish)
        return b'data: ' + json.encode(body) + b'\n\n' + DONE_EVENT

    def encode_failure(self, failure: Failure) -> bytes:
        """Encode the event that ends a stream without a finish event."""
        return b'event: error\ndata: ' + failure_body(failure) + b'\n\n'

    def encode_answer(self, text: str, finish: Finish) -> bytes:
        """Encode a complete answer for a caller that does not stream."""
        body = self._body('chat.completion')
        body['choices'] = [
            {
                'index': 0,
                'message': {'role': 'assistant', 'content': text},
                'finish_reason': finish.reason,
            }
        ]
        body['usage'] = _usage(finish)
        return json.encode(body)

    def _body(self, object_type: str) -> dict[str, Any]:
        return {
            'id': self._request_id,
            'object': object_type,
            'created': self._created,
            'model': self._model,
        }


def _usage(finish: Finish) -> dict[str, Any]:
    return {
        'prompt_tokens': finish.prompt,
        'completion_tokens': finish.offset,
        'total_tokens': finish.prompt + finish.offset,
        'prompt_tokens_details': {'cached_tokens': finish.cached},
    }
