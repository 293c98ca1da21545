"""
bergamotshed.http_bodies
~~~~~~~~~~~~~~~~~~~~~~~~

Reads the bodies of HTTP answers up to a limit, so that a faulty peer that
sends on without end is given up before its bytes fill the memory.
"""

__all__ = ('MAX_BODY_BYTES', 'MAX_FAILURE_BYTES', 'read_body')

from aiohttp import ClientPayloadError, ClientResponse

#: Several times the longest answer of the platform's store.
MAX_BODY_BYTES = 16_777_216
#: Longest body of a refusal or failure.
MAX_FAILURE_BYTES = 65_536


async def read_body(
    response: ClientResponse, limit: int = MAX_BODY_BYTES
) -> bytes:
    """Return the whole body.

    :param limit: longest body in bytes, unless the status tells a failure
    :raises ClientPayloadError: it is longer, or incomplete
    """
    most = limit if response.ok else MAX_FAILURE_BYTES
    body = bytearray()
    while piece := await response.content.readany():
        body += piece
        if len(body) > most:
            response.close()
            raise ClientPayloadError(f'a body of more than {most} bytes')
    return bytes(body)
