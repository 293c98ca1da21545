"""
bergamotshed.intake.limits
~~~~~~~~~~~~~~~~~~~~~~~~~~

How much of the machine the clients of a process may use.
"""

__all__ = ('IntakeLimits', 'derive_limits', 'machine_limits')

import os
import resource
from dataclasses import dataclass

BYTES_PER_MEGABYTE = 1_048_576
#: Memory that is kept for the program and its state, unless the machine is so
#: small that clients get a quarter of it.
OWN_MEMORY_BYTES = 120 * BYTES_PER_MEGABYTE
MIN_CLIENT_SHARE = 0.25
#: Descriptors that are kept for files, and the share of the others that
#: clients may use; the rest is for upstreams, peers and the platform.
OWN_DESCRIPTORS = 200
CLIENT_DESCRIPTOR_SHARE = 2 / 3
#: The descriptors of a process without a limit.
MAX_DESCRIPTORS = 65_536


@dataclass(frozen=True, slots=True)
class IntakeLimits:
    """What all clients together may use.

    :ivar memory_bytes: for connections and requests
    :ivar connections: open at the same time
    """

    memory_bytes: int
    connections: int


def derive_limits(memory_bytes: int, descriptors: int) -> IntakeLimits:
    """Return the clients' part of a machine.

    :param memory_bytes: memory that the process may use
    :param descriptors: descriptors that it may open
    """
    own_descriptors = min(OWN_DESCRIPTORS, descriptors // 4)
    return IntakeLimits(
        max(
            memory_bytes - OWN_MEMORY_BYTES,
            int(memory_bytes * MIN_CLIENT_SHARE),
        ),
        max(1, int((descriptors - own_descriptors) * CLIENT_DESCRIPTOR_SHARE)),
    )


def machine_limits(memory_mb: int) -> IntakeLimits:
    """Return the clients' part of this process.

    :param memory_mb: memory that the process may use, in megabytes; less where
        the machine has less
    """
    page_bytes = os.sysconf('SC_PAGE_SIZE')
    machine_bytes = os.sysconf('SC_PHYS_PAGES') * page_bytes
    memory_bytes = memory_mb * BYTES_PER_MEGABYTE
    if machine_bytes > 0:
        memory_bytes = min(memory_bytes, machine_bytes)
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if not 0 < descriptors < MAX_DESCRIPTORS:
        descriptors = MAX_DESCRIPTORS
    return derive_limits(memory_bytes, descriptors)
