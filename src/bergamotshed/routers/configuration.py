"""
bergamotshed.routers.configuration
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Transfers the configuration in force between routers, for those that can't
reach the log. Heartbeats carry the version that each router has.
"""

__all__ = ('ConfigurationExchange',)

import zlib
from contextlib import suppress
from datetime import timedelta

from msgspec import msgpack

from ..control.types import ConfigurationInForce
from ..decoding import DECODE_ERRORS
from ..fleet import Fleet
from ..routing.membership import Membership
from .errors import PeerMessageError
from .mesh import PeerMesh
from .messages import ConfigurationAnswer, ConfigurationRequest, Message

_PAYLOAD_ERRORS = (zlib.error, *DECODE_ERRORS)

#: How long to wait for a peer's configuration.
PULL_TIMEOUT = timedelta(seconds=1)

#: Largest size of a decompressed configuration.
MAX_DECOMPRESSED_BYTES = 64 * 1024 * 1024


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
        self._packed_answer = ConfigurationAnswer(-1)
        mesh.on_question(ConfigurationRequest, self._answer_request)

    async def pull(self, version: int) -> tuple[int, Fleet] | None:
        """Return a newer configuration from a live peer, newest first.

        :param version: version in force here; only a newer one is returned
        """
        versions = self._view.config_versions()
        newer_peers = [name for name in versions if versions[name] > version]
        newer_peers.sort(key=versions.__getitem__, reverse=True)
        for peer in newer_peers:
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

    async def _answer_request(
        self, peer: str, request: ConfigurationRequest
    ) -> Message:
        version = self._configuration.version
        if request.version >= version:
            return ConfigurationAnswer(version)
        if self._packed_answer.version != version:
            payload = pack_fleet(self._configuration.fleet)
            self._packed_answer = ConfigurationAnswer(version, payload)
        return self._packed_answer


def pack_fleet(fleet: Fleet) -> bytes:
    """Return the configuration as compressed MessagePack."""
    return zlib.compress(msgpack.encode(fleet))


def unpack_fleet(payload: bytes) -> Fleet:
    """Return the configuration that :func:`pack_fleet` packed.

    :raises PeerMessageError: if the bytes are not a configuration
    """
    unpacker = zlib.decompressobj()
    try:
        unpacked = unpacker.decompress(payload, MAX_DECOMPRESSED_BYTES)
        return msgpack.decode(unpacked, type=Fleet)
    except _PAYLOAD_ERRORS as error:
        raise PeerMessageError(str(error)) from error
