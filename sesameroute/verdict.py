"""The verdict: whether a request may have run on a backend server."""

from enum import StrEnum, unique

__all__ = ['Verdict']


@unique
class Verdict(StrEnum):
    """What is known about the execution of one request.

    Attributes
    ----------
    NOT_RUN
        The request did not run and never will. The process that reports
        this verdict has sealed the request key, so that a later copy of the
        request is refused.
    MAY_HAVE_RUN
        No reachable process knows whether the request ran; the caller must
        not send a non-idempotent request again under another key.
    RAN
        A backend server ran the request and returned a response.

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
