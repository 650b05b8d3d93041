"""Execution verdict of a request: whether an upstream ran it."""

from enum import Enum


class Verdict(Enum):
    """Whether a request may have run; part of every answer and every error."""

    ANSWERED = "answered"
    """An upstream ran the request and this is its complete answer."""

    NOT_RUN = "not-run"
    """No upstream ran the request and none will: it is safe to retry."""

    MAY_HAVE_RUN = "may-have-run"
    """An upstream may have run the request, or may still run it."""
