"""
bergamotshed.operators.errors
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Errors of the operators' HTTP server.
"""

__all__ = ('ExplainError',)

from ..errors import BergamotshedError


class ExplainError(BergamotshedError):
    """The query does not name exactly one request or engine."""
