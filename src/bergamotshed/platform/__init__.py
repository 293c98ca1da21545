"""
bergamotshed.platform
~~~~~~~~~~~~~~~~~~~~~

Adapters to the users' platform: its names, formats and calls, converted to and
from the types of this package. This package holds no decision logic.
"""
