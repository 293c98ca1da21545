"""
bergamotshed.engines.probe
~~~~~~~~~~~~~~~~~~~~~~~~~~

Checks whether a suspect upstream answers again.
"""

__all__ = ('UpstreamProbe',)

import asyncio
import contextlib

from ..control.types import ConfigurationInForce
from ..fleet import ServiceKind
from ..routing.types import Upstream
from .types import EngineClient, EngineError


class UpstreamProbe:
    """Probes engines by their load report, plain services by a connection.

    :param configuration: gives the kind of each service
    """

    def __init__(
        self, engines: EngineClient, configuration: ConfigurationInForce
    ) -> None:
        self._engines = engines
        self._configuration = configuration

    async def is_answering(self, upstream: Upstream) -> bool:
        """Return whether the upstream answers; the caller sets the timeout."""
        service = self._configuration.fleet.service(upstream.service)
        if service is not None and service.kind is ServiceKind.PLAIN:
            return await _accepts_connection(upstream.address)
        try:
            await self._engines.load(upstream.address)
        except EngineError:
            return False
        return True


async def _accepts_connection(address: str) -> bool:
    host, _, port = address.rpartition(':')
    try:
        _, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return False
    writer.close()
    with contextlib.suppress(OSError):
        await writer.wait_closed()
    return True
