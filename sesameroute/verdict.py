"""The verdict: whether a request may have run on a backend server."""

from enum import StrEnum, unique

__all__ = ['Verdict']


@unique
class Verdict(StrEnum):
    """What is known about the execution of one request.

    Attributes
    ----------
    NOT_RUN
        The request did not run and never will: whoever says so has sealed
        the request key.
    MAY_HAVE_RUN
        Nobody reachable can tell; the caller must not send a non-idempotent
        request again under another key.
    RAN
        A backend server ran the request and answered it.

    Examples
    --------
    >>> Verdict('not-run').allows_retry
    True
    >>> Verdict.MAY_HAVE_RUN.allows_retry
    False

    """

    NOT_RUN = 'not-run'
    MAY_HAVE_RUN = 'may-have-run'
    RAN = 'ran'

    @property
    def allows_retry(self) -> bool:
        """Whether sending a non-idempotent request again is safe."""
        return self is Verdict.NOT_RUN
