"""
bergamotshed.callers.answer_encoder
~~~~~~~~~~~~~~~~~~~~~~~~~~

The common chat-completions shape of answers.
"""

__all__ = ('ChatAnswerEncoder',)

from typing import Any

from msgspec import json

from ..dispatch.types import Failure
from ..engines.types import Finish
from .errors import failure_body

DONE = b'data: [DONE]\n\n'


class ChatAnswerEncoder:
    """Encodes one chat's answer.

    :param request: fleet-wide request id
    :param created: unix seconds
    """

    def __init__(self, request: str, model: str, created: int) -> None:
        self._request = request
        self._model = model
        self._created = created
        opening = json.encode(self._body('chat.completion.chunk'))
        # Only the text differs from chunk to chunk.
        self._chunk_head = (
            b'data: '
            + opening[:-1]
            + b',"choices":[{"index":0,"delta":{"content":'
        )
        self._chunk_tail = b'},"finish_reason":null}]}\n\n'

    def chunk(self, text: str) -> bytes:
        """Encode one piece of text as an event."""
        return self._chunk_head + json.encode(text) + self._chunk_tail

    def finish(self, finish: Finish) -> bytes:
        """Encode the finish event and the end of the stream."""
        body = self._body('chat.completion.chunk')
        body['choices'] = [
            {'index': 0, 'delta': {}, 'finish_reason': finish.reason}
        ]
        body['usage'] = _usage(finish)
        return b'data: ' + json.encode(body) + b'\n\n' + DONE

    def failure(self, failure: Failure) -> bytes:
        """Encode the event that ends a stream without its finish."""
        return b'event: error\ndata: ' + failure_body(failure) + b'\n\n'

    def whole(self, text: str, finish: Finish) -> bytes:
        """Encode a whole answer for a caller that does not stream."""
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

    def _body(self, kind: str) -> dict[str, Any]:
        return {
            'id': self._request,
            'object': kind,
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
