"""
bergamotshed.intake
~~~~~~~~~~~~~~~~~~~

What clients that send requests may cost a process: memory, descriptors and
time of the event loop, counted over all its HTTP addresses.
"""
