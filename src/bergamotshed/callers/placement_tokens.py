"""
bergamotshed.callers.placement_tokens
~~~~~~~~~~~~~~~~~~~~~~~~~~

The placement token: an opaque, signed name of the upstream that answered,
which a caller may give back with its next request.
"""

__all__ = ('PlacementTokens',)

import hmac
from base64 import urlsafe_b64decode, urlsafe_b64encode
from binascii import Error as Base64Error
from hashlib import blake2b

SIGNATURE_BYTES = 12
MAX_TOKEN_CHARACTERS = 200


class PlacementTokens:
    """Makes and reads tokens.

    :param key: secret that all routers of the fleet share, at most 64 bytes
    """

    def __init__(self, key: bytes) -> None:
        self._key = key

    def make(self, upstream: str, organisation: str) -> str:
        """Return the token of an upstream for one organisation."""
        name = upstream.encode()
        signature = self._signature(name, organisation)
        return urlsafe_b64encode(signature + name).decode()

    def read(self, token: str, organisation: str) -> str:
        """Return the upstream's name, or empty if the token is not ours."""
        if not token or len(token) > MAX_TOKEN_CHARACTERS:
            return ''
        try:
            opened = urlsafe_b64decode(token.encode())
        except (Base64Error, ValueError):
            return ''
        name = opened[SIGNATURE_BYTES:]
        signature = opened[:SIGNATURE_BYTES]
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
