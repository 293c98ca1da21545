"""
bergamotshed.forwarding.stream_resumption
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Finds out where a stream that a caller resumes may go on.
"""

__all__ = ('StreamResumption', 'admitted_at_origin')

import math
import random
from collections.abc import Awaitable, Callable
from dataclasses import replace

from eliot import log_message

from ..clock import Clock
from ..reasons import Reason, Refusal
from ..routes.types import Repeatability
from ..routing.stream_origins import (
    STREAM_LIFETIME,
    OriginUnknown,
    SharedStreamOrigins,
    StreamOrigin,
)
from ..upstreams.version_history import VersionHistory
from .request_admission import OTHER_ROUTER_RETRY_AFTER, AdmittedRequest
from .types import RoutedRequest


class StreamResumption:
    """Looks up the version that began a stream.

    :param confirm_list: reads the list of upstreams at once; returns whether
        all changes are known
    """

    def __init__(
        self,
        origins: SharedStreamOrigins,
        versions: VersionHistory,
        confirm_list: Callable[[], Awaitable[bool]],
        clock: Clock,
    ) -> None:
        self._origins = origins
        self._versions = versions
        self._confirm_list = confirm_list
        self._clock = clock

    async def find_origin(
        self, request: RoutedRequest, admitted: AdmittedRequest
    ) -> StreamOrigin | Refusal | None:
        """Return where the stream began, or why it can't go on.

        :return: ``None`` if the request begins a stream or is no stream
        """
        if (
            request.last_event_id is None
            or admitted.route.repeatability is not Repeatability.RESUMABLE
        ):
            return None
        origin = await self._look_up(request, admitted.service)
        if isinstance(origin, OriginUnknown):
            return _refusal(origin)
        services = {share.service for share in admitted.route.services}
        if origin.service not in services:
            return Refusal(
                Reason.ORIGIN_GONE,
                detail=f'the route no longer leads to {origin.service}',
            )
        return origin

    async def _look_up(
        self, request: RoutedRequest, service: str
    ) -> StreamOrigin | OriginUnknown:
        origin: StreamOrigin | OriginUnknown = OriginUnknown.NOT_FOUND
        if request.resumed_attempt is not None:
            origin = await self._origins.find(request.resumed_attempt)
        if isinstance(origin, StreamOrigin):
            return origin
        # Another router may know a version that is not read here yet.
        is_confirmed = await self._confirm_list()
        only = self._find_only(service) if is_confirmed else None
        log_message(
            'stream.origin_unknown',
            request=request.attempt_id,
            resumed_attempt=request.resumed_attempt,
            detail=origin.value,
            versions=sorted(self._recent_versions(service)),
            only=None if only is None else only.version,
            known_s=self._seconds_since(self._versions.known_since),
            list_age=self._seconds_since(self._versions.confirmed_at),
            is_confirmed=is_confirmed,
        )
        if not is_confirmed:
            # A router that reaches the store may find it.
            return OriginUnknown.UNANSWERED
        return only or origin

    def _find_only(self, service: str) -> StreamOrigin | None:
        """Return the only version that a stream may be of, if it is known."""
        if not self._knows_former_versions:
            return None
        versions = self._recent_versions(service)
        return StreamOrigin(service, *versions) if len(versions) == 1 else None

    def _recent_versions(self, service: str) -> set[str]:
        return self._versions.recent_versions(service, STREAM_LIFETIME)

    def _seconds_since(self, time: float) -> float | None:
        age = self._clock.boottime() - time
        return round(age, 3) if math.isfinite(age) else None

    @property
    def _knows_former_versions(self) -> bool:
        """Return whether no stream can be of a version that has left and that
        this router does not know.
        """
        known_s = self._clock.boottime() - self._versions.known_since
        return known_s > STREAM_LIFETIME.total_seconds()


def admitted_at_origin(
    admitted: AdmittedRequest, origin: StreamOrigin | None
) -> AdmittedRequest:
    """Return a request with the service at which its stream began."""
    if origin is None:
        return admitted
    return replace(admitted, service=origin.service)


def _refusal(unknown: OriginUnknown) -> Refusal:
    retry_after = None
    if unknown is OriginUnknown.UNANSWERED:
        retry_after = OTHER_ROUTER_RETRY_AFTER * random.uniform(1, 2)
    return Refusal(
        Reason.ORIGIN_UNKNOWN,
        retry_after,
        'the version that began the stream is not known',
    )
