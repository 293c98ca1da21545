"""
bergamotshed.gateway
~~~~~~~~~~~~~~~~~~~~

The gateway program: routes HTTP requests by host and path to upstreams.
"""
