"""
bergamotshed.forwarding.peer_forwarder
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The interface to routers that forward requests for others.
"""

__all__ = ('PeerForwarder',)

from abc import ABC, abstractmethod

from ..reasons import Refusal
from .types import (
    AnswerSink,
    RoutedRequest,
    StreamedAnswer,
    UnknownOutcome,
    UpstreamAnswer,
)


class PeerForwarder(ABC):
    """Forwards requests by way of other routers; override the method."""

    @abstractmethod
    async def forward(
        self,
        request: RoutedRequest,
        service: str,
        deadline: float,
        sink: AnswerSink,
    ) -> UpstreamAnswer | StreamedAnswer | Refusal | UnknownOutcome | None:
        """Return the answer that a peer got, or why there is none.

        :param service: the service whose upstreams this router does not reach
        :param deadline: when the final answer is due, in monotonic seconds
        :param sink: receives an answer that is passed on in pieces
        :return: ``None`` if no peer that may reach the service took the
            request; it did not run then
        """
