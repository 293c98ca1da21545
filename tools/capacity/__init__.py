"""
tools.capacity
~~~~~~~~~~~~~~

Measures the growth rates in docs/CAPACITY.md: ``python -m tools.capacity``.
"""
