"""
tools.capacity.scenario
~~~~~~~~~~~~~~~~~~~~~~~

Names and sizes that the measured router and its stand-in peers share.
"""

__all__ = (
    'ENGINES',
    'MEASURED_ROUTER',
    'PARTITIONS',
    'SERVICE',
    'organisation_name',
    'peer_names',
)

# Rendezvous hashing of this name determines its partitions and monitors.
MEASURED_ROUTER = 'subject-30'
SERVICE = 'drafting'
ENGINES = 46
PARTITIONS = 72


def peer_names(count: int) -> list[str]:
    """Return the names of the stand-in peers."""
    return [f'router-{number:03}' for number in range(1, count + 1)]


def organisation_name(number: int) -> str:
    """Return the name of an organisation."""
    return f'organisation-{number}'
