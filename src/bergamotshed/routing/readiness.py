"""
bergamotshed.routing.readiness
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Which upstreams can serve a model now.
"""

__all__ = ('AlwaysReady', 'Readiness')

from abc import ABC, abstractmethod


class Readiness(ABC):
    """Knows what upstreams have loaded; override :meth:`can_serve`."""

    @abstractmethod
    def can_serve(self, upstream: str, model: str) -> bool:
        """Return whether an upstream has a model loaded, as far as is known.

        :param model: ``model@version+adapter``, or empty for any
        """


class AlwaysReady(Readiness):
    """Assumes that every upstream can serve every model."""

    def can_serve(self, upstream: str, model: str) -> bool:
        """Return ``True``."""
        return True
