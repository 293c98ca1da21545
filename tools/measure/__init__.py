"""
tools.measure
~~~~~~~~~~~~~

Simulates workloads with seeded input against the placement code and prints
the results beside those of baseline policies.
"""
