"""
bergamotshed.weights
~~~~~~~~~~~~~~~~~~~~

Client of the platform's weight store.
"""
