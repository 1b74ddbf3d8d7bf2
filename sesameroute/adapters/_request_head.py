"""Heads of requests that may go ahead of an unanswered one."""

from dataclasses import dataclass

__all__ = ['RequestHead', 'parse_bodiless_head']

_LINE_END = b'\r\n'
_HEAD_END = b'\r\n\r\n'
_STARTS = (b'GET /', b'HEAD /')
_VERSION = b'HTTP/1.1'
# Fields by which more than this request is meant: a body, another protocol,
# or the end of the connection.
_EXCLUDED_NAMES = frozenset(
    (
        b'content-length',
        b'expect',
        b'transfer-encoding',
        b'upgrade',
    )
)
_KEEP_ALIVE = b'keep-alive'
_ENCODING = 'latin-1'
_REQUEST_PARTS = 3


@dataclass(frozen=True, slots=True)
class RequestHead:
    """What the head of a request without a body says.

    Attributes
    ----------
    host, target : str
        Host and target as the caller sent them.
    size : int
        Length of the head in bytes, with the empty line at its end.

    """

    host: str
    target: str
    size: int


def parse_bodiless_head(content: bytes, max_bytes: int) -> RequestHead | None:
    """Return the first head if it is a plain GET or HEAD without a body.

    Whatever is unusual is left to the parser of requests, which reads a
    connection on its own.

    Parameters
    ----------
    content : bytes
        What has been read of a connection.
    max_bytes : int
        Largest head.

    """
    if not content.startswith(_STARTS):
        return None
    end = content.find(_HEAD_END)
    if end < 0 or end + len(_HEAD_END) > max_bytes:
        return None
    first, *lines = content[:end].split(_LINE_END)
    parts = first.split(b' ')
    is_usual = len(parts) == _REQUEST_PARTS and parts[2] == _VERSION
    hosts = _find_hosts(lines) if is_usual else []
    if len(hosts) != 1:
        return None
    return RequestHead(
        hosts[0].decode(_ENCODING),
        parts[1].decode(_ENCODING),
        end + len(_HEAD_END),
    )


def _find_hosts(lines: list[bytes]) -> list[bytes]:
    """Return the values of Host; none if another field is unusual."""
    hosts = []
    for line in lines:
        name, _, text = line.partition(b':')
        if not _is_usual_field(name.lower(), text):
            return []
        if name.lower() == b'host':
            hosts.append(text.strip())
    return hosts


def _is_usual_field(name: bytes, text: bytes) -> bool:
    """Return whether a field says nothing beyond its own request.

    A bare line feed would end the line for another reader.
    """
    if name == b'connection':
        return text.strip().lower() == _KEEP_ALIVE
    is_token = name.replace(b'-', b'').isalnum()
    return is_token and name not in _EXCLUDED_NAMES and b'\n' not in text
