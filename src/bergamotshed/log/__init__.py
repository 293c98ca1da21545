"""
bergamotshed.log
~~~~~~~~~~~~~~~~

Client of the platform's log service.
"""
