"""Gypsumwind: a global traffic steering system that operators drive by editing a table."""

__version__ = "0.1.0"
