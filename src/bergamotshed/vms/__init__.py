"""
bergamotshed.vms
~~~~~~~~~~~~~~~~

Client of the platform's VM list.
"""
