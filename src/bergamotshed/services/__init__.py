"""
bergamotshed.services
~~~~~~~~~~~~~~~~~~~~~

HTTP client of the plain services.
"""
