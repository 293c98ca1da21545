"""Crowds of clients that break the limits, against the system's processes."""
