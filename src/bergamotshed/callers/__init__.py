"""
bergamotshed.callers
~~~~~~~~~~~~~~~~~~~~

The HTTP interface of the router for callers.
"""
