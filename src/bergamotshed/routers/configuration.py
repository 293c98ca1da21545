"""
bergamotshed.routers.configuration
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Hands the configuration in force from router to router, for those that are
cut from the log. Heartbeats tell who has a newer one.
"""

__all__ = ('ConfigurationExchange',)

import zlib
from contextlib import suppress
from datetime import timedelta

from msgspec import DecodeError, ValidationError, msgpack

from ..control.types import ConfigurationInForce
from ..fleet import Fleet
from ..routing.membership import Membership
from .errors import PeerMessageError
from .mesh import PeerMesh
from .messages import ConfigurationAnswer, ConfigurationRequest, Message

#: How long a peer may take to send its configuration.
PULL_TIMEOUT = timedelta(seconds=1)

#: Largest configuration that is unpacked, in bytes.
MAX_UNPACKED = 64 * 1024 * 1024


class ConfigurationExchange:
    """Serves the configuration in force and fetches newer ones."""

    def __init__(
        self,
        mesh: PeerMesh,
        view: Membership,
        configuration: ConfigurationInForce,
    ) -> None:
        self._mesh = mesh
        self._view = view
        self._configuration = configuration
        self._packed = ConfigurationAnswer(-1)
        mesh.on_question(ConfigurationRequest, self._answer)

    async def pull(self, version: int) -> tuple[int, Fleet] | None:
        """Return the newest configuration among the live peers.

        :param version: only a newer one is returned
        """
        versions = self._view.config_versions()
        newer = [name for name in versions if versions[name] > version]
        newer.sort(key=versions.__getitem__, reverse=True)
        for peer in newer:
            answer = await self._mesh.ask(
                peer, ConfigurationRequest(version), PULL_TIMEOUT
            )
            if (
                isinstance(answer, ConfigurationAnswer)
                and answer.version > version
            ):
                with suppress(PeerMessageError):
                    return answer.version, unpack_fleet(answer.payload)
        return None

    async def _answer(self, peer: str, ask: ConfigurationRequest) -> Message:
        version = self._configuration.version
        if ask.version >= version:
            return ConfigurationAnswer(version)
        if self._packed.version != version:
            payload = pack_fleet(self._configuration.fleet)
            self._packed = ConfigurationAnswer(version, payload)
        return self._packed


def pack_fleet(fleet: Fleet) -> bytes:
    """Return the configuration as compressed MessagePack."""
    return zlib.compress(msgpack.encode(fleet))


def unpack_fleet(payload: bytes) -> Fleet:
    """Return the configuration that a peer packed.

    :raises PeerMessageError: it is no configuration
    """
    unpacker = zlib.decompressobj()
    try:
        unpacked = unpacker.decompress(payload, MAX_UNPACKED)
        return msgpack.decode(unpacked, type=Fleet)
    except (zlib.error, DecodeError, ValidationError) as error:
        raise PeerMessageError(str(error)) from error
