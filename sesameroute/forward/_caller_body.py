"""Bodies of callers' requests on their way to backend servers."""

from collections.abc import Iterator

from sesameroute.forward._message import CallerRequest

__all__ = [
    'MAX_BUFFERED_BYTES',
    'CallerBody',
    'count_bytes',
    'is_consumed',
    'read_body',
]

# Bodies up to this size can be sent again.
MAX_BUFFERED_BYTES = 131_072
# Of a longer body only so much is read before there is a slot for it: enough
# to tell requests apart that end backend servers.
_FIRST_BYTES = 16_384


class CallerBody:
    """A body that is passed on while it comes.

    What has been sent is kept up to a bound, so that another try can send it.
    Each part is read when the one before it has been sent: a slow server
    slows down the caller, and nothing is held for it here.

    Parameters
    ----------
    request : CallerRequest
        The request.
    first : bytes
        The first bytes of the body.

    Attributes
    ----------
    is_consumed : bool
        Whether it can't be sent once more.
    byte_count_ : int
        Bytes that have come.

    """

    def __init__(self, request: CallerRequest, first: bytes) -> None:
        """Store the parameters."""
        self.request = request
        self.first = first
        self.is_consumed = False
        self._kept = [first]
        self.byte_count_ = len(first)

    def __iter__(self) -> Iterator[bytes]:
        """Yield all parts."""
        yield from tuple(self._kept)
        while part := self.request.read(_FIRST_BYTES):
            self._keep(part)
            yield part

    def _keep(self, part: bytes) -> None:
        self.byte_count_ += len(part)
        self.is_consumed = self.byte_count_ > MAX_BUFFERED_BYTES
        if self.is_consumed:
            self._kept.clear()
        else:
            self._kept.append(part)


def read_body(request: CallerRequest) -> object:
    """Return a short body as bytes, a long one as an iterable of bytes.

    Returns None if there is no body. One whose length is not known is short
    if its end comes soon, so that it is sent with its length.
    """
    if request.length == 0:
        return None
    limit = _FIRST_BYTES if request.length else MAX_BUFFERED_BYTES
    first = b''
    while len(first) < limit:
        part = request.read(limit - len(first))
        if not part:
            return first
        first += part
    if len(first) == request.length:
        return first
    return CallerBody(request, first)


def count_bytes(body: object) -> int:
    """Return how many bytes of a body have come.

    Examples
    --------
    >>> count_bytes(None), count_bytes(b'four')
    (0, 4)

    """
    if isinstance(body, CallerBody):
        return body.byte_count_
    return len(body or b'')


def is_consumed(body: object) -> bool:
    """Return whether a body has been read and can't be sent again."""
    return isinstance(body, CallerBody) and body.is_consumed
