"""
bergamotshed.callers.placement_tokens
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Placement tokens: the signed name of the upstream that answered, opaque to the
caller, which may send it back with its next request.
"""

__all__ = ('PlacementTokens',)

import hmac
from base64 import urlsafe_b64decode, urlsafe_b64encode
from binascii import Error as Base64Error
from hashlib import blake2b

SIGNATURE_BYTES = 12
MAX_TOKEN_CHARACTERS = 200


class PlacementTokens:
    """Creates and verifies placement tokens.

    :param key: signing key that all routers of the fleet share, at most 64
        bytes
    """

    def __init__(self, key: bytes) -> None:
        self._key = key

    def make(self, upstream: str, organisation: str) -> str:
        """Return the token of an upstream for one organisation."""
        name = upstream.encode()
        signature = self._signature(name, organisation)
        return urlsafe_b64encode(signature + name).decode()

    def read(self, token: str, organisation: str) -> str:
        """Return the name of the upstream; empty if the token is invalid."""
        if not token or len(token) > MAX_TOKEN_CHARACTERS:
            return ''
        try:
            decoded = urlsafe_b64decode(token.encode())
        except (Base64Error, ValueError):
            return ''
        name = decoded[SIGNATURE_BYTES:]
        signature = decoded[:SIGNATURE_BYTES]
        if not hmac.compare_digest(
            signature, self._signature(name, organisation)
        ):
            return ''
        return name.decode(errors='replace')

    def _signature(self, name: bytes, organisation: str) -> bytes:
        digest = blake2b(key=self._key, digest_size=SIGNATURE_BYTES)
        digest.update(organisation.encode(errors='replace'))
        digest.update(b'\0')
        digest.update(name)
        return digest.digest()
