"""
bergamotshed.edge
~~~~~~~~~~~~~~~~~

HTTP servers of the gateway, for callers and the platform.
"""
