"""Adapter between the platform and the project's own types; it makes no decisions."""
