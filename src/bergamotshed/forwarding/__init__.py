"""
bergamotshed.forwarding
~~~~~~~~~~~~~~~~~~~~~~~

Forwards routed requests to upstreams and returns their answers to callers.
"""
