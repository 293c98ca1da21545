"""
bergamotshed.forwarding.dialect
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Interface for the header names and formats of routed requests and answers.
"""

__all__ = ('Dialect', 'RequestMalformed')

from abc import ABC, abstractmethod

from ..errors import BergamotshedError
from ..upstreams.types import AnswerHead, Headers
from .types import AnswerMetadata, RequestMetadata, RoutedRequest


class RequestMalformed(BergamotshedError):
    """A caller's request has missing or malformed headers."""


class Dialect(ABC):
    """Reads and writes the HTTP headers; override all methods."""

    @abstractmethod
    def read_request(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        arrived_at: float,
    ) -> RoutedRequest:
        """Read a caller's request.

        :raises RequestMalformed: a header is missing or malformed
        """

    @abstractmethod
    def write_head(
        self, request: RoutedRequest, metadata: RequestMetadata
    ) -> bytes:
        """Write the head of the request for an upstream."""

    @abstractmethod
    def read_answer(self, head: AnswerHead) -> AnswerMetadata:
        """Read the head of an upstream's answer."""
