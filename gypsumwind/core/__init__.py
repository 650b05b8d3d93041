"""Decisions without input or output: time and randomness are handed in."""
