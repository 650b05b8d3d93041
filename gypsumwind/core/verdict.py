"""What is known about whether a request was run by an upstream."""

from enum import Enum


class Verdict(Enum):
    """Whether a request may have run; carried by every answer and every error."""

    ANSWERED = "answered"
    """An upstream ran the request and this is its whole answer."""

    NOT_RUN = "not-run"
    """No upstream ran the request and none will: it may be sent again."""

    MAY_HAVE_RUN = "may-have-run"
    """An upstream may have run the request, or may still run it."""
