"""Header by which nodes pass requests on to each other."""

from http import HTTPStatus

from sesameroute.forward._message import (
    AnswerMetadata,
    HeaderCodec,
    RelayedRequest,
)
from sesameroute.ports import Answer, Headers

__all__ = [
    'RelayCodec',
    'decode_context',
    'is_refusal',
    'mark_answer',
    'strip_relay_header',
]

# In a request: version of the configuration, and milliseconds that have passed.
# A third field says that there are tenants: builds that know none, and would
# hand their keys to backend servers, take the header as malformed and decline.
# In an answer: identifier of the attempt; `;declined` if it has not run.
_RELAY_HEADER = 'Sesame-Relay'
_DECLINED = 'declined'
_TENANTS = ';tenants'
_MILLISECONDS = 1000
_REFUSED_STATUSES = frozenset(
    (
        HTTPStatus.SERVICE_UNAVAILABLE,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.UNAUTHORIZED,
    )
)


class RelayCodec(HeaderCodec):
    """Reads and writes the headers of relayed requests.

    Parameters
    ----------
    platform_codec : HeaderCodec
        Writes the headers of the users' platform.

    """

    def __init__(self, platform_codec: HeaderCodec) -> None:
        """Store the codec."""
        self.platform_codec = platform_codec

    def build_deadline_header(self, seconds: float) -> Headers:
        """Return the header with the time until the deadline."""
        return self.platform_codec.build_deadline_header(seconds)

    def is_replaced_per_hop(self, name: str) -> bool:
        """Return whether a header is replaced at each hop."""
        return (
            name.lower() == _RELAY_HEADER.lower()
            or self.platform_codec.is_replaced_per_hop(name)
        )

    def read_answer_metadata(self, answer: Answer) -> AnswerMetadata:
        """Return what the other node says; it marks each of its answers."""
        texts = [
            text
            for name, text in answer.headers
            if name.lower() == _RELAY_HEADER.lower()
        ]
        identifier, _, result = ''.join(texts).partition(';')
        return AnswerMetadata(
            identifier,
            is_not_run=result == _DECLINED,
            is_misdirected=False,
            is_sealed=bool(texts),
        )

    def encode_context(
        self, version: int, elapsed: float, *, has_tenants: bool = False
    ) -> Headers:
        """Return the header that tells the other node about the request.

        Parameters
        ----------
        version : int
            Version of the configuration by which it was accepted.
        elapsed : float
            Seconds that it and the caller's earlier attempts have taken.
        has_tenants : bool, optional
            Whether the other node has to know tenants.

        """
        milliseconds = round(elapsed * _MILLISECONDS)
        suffix = _TENANTS if has_tenants else ''
        return ((_RELAY_HEADER, f'{version};{milliseconds}{suffix}'),)


def is_refusal(answer: Answer, platform_codec: HeaderCodec) -> bool:
    """Return whether a node, not a backend server, refuses a request."""
    metadata = platform_codec.read_answer_metadata(answer)
    return answer.status in _REFUSED_STATUSES and not metadata.is_sealed


def decode_context(headers: Headers) -> RelayedRequest | None:
    """Return what another node tells of a request; None if it is malformed.

    Examples
    --------
    >>> decode_context([('sesame-relay', '12;250')])
    RelayedRequest(version=12, elapsed=0.25)
    >>> decode_context([('sesame-relay', '12')]), decode_context([])
    (None, None)

    """
    for name, text in headers:
        if name.lower() == _RELAY_HEADER.lower():
            version, _, elapsed = text.removesuffix(_TENANTS).partition(';')
            if version.isdecimal() and elapsed.isdecimal():
                return RelayedRequest(
                    int(version), int(elapsed) / _MILLISECONDS
                )
    return None


def mark_answer(answer: Answer, identifier: str, *, declined: bool) -> Answer:
    """Mark an answer as that of a node to a request of another one."""
    text = f'{identifier};{_DECLINED}' if declined else identifier
    answer.headers = (*answer.headers, (_RELAY_HEADER, text))
    return answer


def strip_relay_header(headers: Headers) -> Headers:
    """Return the headers without the relay header."""
    return tuple(
        (name, text)
        for name, text in headers
        if name.lower() != _RELAY_HEADER.lower()
    )
