"""
bergamotshed.upstreams
~~~~~~~~~~~~~~~~~~~~~~

HTTP/1.1 connections to upstreams, their pool, and the registry of upstreams
that the store lists.
"""
