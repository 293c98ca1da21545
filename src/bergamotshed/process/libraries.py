"""
bergamotshed.process.libraries
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Keeps libraries within the bounds of the VMs. To be called before they are
imported.
"""

__all__ = ('configure_libraries',)

import os
import secrets
import uuid

NODE_BITS = 48
MULTICAST_BIT = 1 << 40
NODE_CACHE = '_node'


def configure_libraries() -> None:
    """Keep libraries from io_uring, from files and from other processes.

    The event loop's library takes an inherited ``UV_USE_IO_URING`` for a
    wish. aiomisc asks for a hardware address when it is imported, for which
    the standard library may write a file or start a program; it is given a
    random one, marked as such by its multicast bit.
    """
    os.environ['UV_USE_IO_URING'] = '0'
    setattr(uuid, NODE_CACHE, secrets.randbits(NODE_BITS) | MULTICAST_BIT)
