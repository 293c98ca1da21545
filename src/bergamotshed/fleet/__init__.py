"""
bergamotshed.fleet
~~~~~~~~~~~~~~~~~~

The configuration of the fleet: its services with their models, versions and
adapters, and its organisations.
"""

__all__ = ('Fleet', 'LiveModel', 'Organisation', 'Service', 'ServiceKind')

from .model import Fleet, LiveModel, Organisation, Service, ServiceKind
