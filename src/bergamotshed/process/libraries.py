"""
bergamotshed.process.libraries
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Configures libraries for the restrictions of the VMs. Must run before the
libraries are imported.
"""

__all__ = ('configure_libraries',)

import os
import secrets
import uuid

NODE_ID_BITS = 48
MULTICAST_BIT = 1 << 40
NODE_ID_CACHE = '_node'


def configure_libraries() -> None:
    """Keep libraries from using io_uring, writing files or starting programs.

    libuv would use io_uring if ``UV_USE_IO_URING`` were inherited from the
    environment. aiomisc reads a hardware address when it is imported, for
    which the standard library may write a file or start a program; a random
    address is set instead, marked as such by its multicast bit.
    """
    os.environ['UV_USE_IO_URING'] = '0'
    setattr(uuid, NODE_ID_CACHE, secrets.randbits(NODE_ID_BITS) | MULTICAST_BIT)
