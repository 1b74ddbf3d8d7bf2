"""Answers for tests: some that are not valid HTTP, and valid ones beside.

Each table gives a text by name. Its `{fields}` stands for the fields that the
reader of the test asks for, one line each; its body is `BODY`, where there is
one.
"""

BODY = 'whole'
CHUNKS = f'5\r\n{BODY}\r\n0\r\n\r\n'
_LENGTH = 'Content-Length: 5\r\n'
_CODING = 'Transfer-Encoding: chunked\r\n'
_NO_CONTENT = 'HTTP/1.1 204 X'


def fill(text, fields):
    """Return the answer with these fields, their lines ended like its own."""
    if '\r\n' not in text:
        fields = fields.replace('\r\n', '\n')
    return text.replace('{fields}', fields)


def build_text(lines, body=BODY, status_line='HTTP/1.1 200 X'):
    """Return an answer whose head has these lines ahead of the fields."""
    return f'{status_line}\r\n{lines}{{fields}}\r\n{body}'


_STATUS_LINES = (
    *('', 'ICY 200 OK', ' HTTP/1.1 200 X', '\tHTTP/1.1 200 X', '200 X'),
    *('http/1.1 200 X', 'HTTP 200 X', 'HTTP/1 200 X', 'HTTP/1. 200 X'),
    *('HTTP/0.9 200 X', 'HTTP/1.10 200 X', 'HTTP/1.x 200 X', 'HTTP/2.0 200 X'),
    *('HTTP/1.1  200 X', 'HTTP/1.1\t200 X', 'HTTP/1.1\x0b200 X'),
    *('HTTP/1.1\xa0200 X', 'HTTP/1.1 200\tX', 'HTTP/1.1 200\xa0X'),
    *('HTTP/1.1\x00 200 X', 'HTTP/1.1 200\x00', 'HTTP/1.1 200 a\x00b'),
    *('HTTP/1.1 200 a\rb', 'HTTP/1.1 200\r', 'HTTP/1.1 200 a\x7fb'),
    *('HTTP/1.1 000 X', 'HTTP/1.1 099 X', 'HTTP/1.1 1000 X', 'HTTP/1.1 20 X'),
    *('HTTP/1.1 +200 X', 'HTTP/1.1 600 X', 'HTTP/1.1 101 X', 'HTTP/1.1 2_00 X'),
)
_MALFORMED_STATUS_LINES = {
    f'status line {line!r}': build_text(_LENGTH, status_line=line)
    for line in _STATUS_LINES
}

_LENGTHS = (
    *('+5', '-5', '0x5', '5x', 'x5', 'five', '', ' ', '5 5', '5 0', '\r\n 5'),
    *('5,5', '5, 5', '5, 6', '5;', '5.0', '5e0', '0_5', '"5"', '\xb2', '5\r'),
    *('5\x00', '\x005', '\x0b5', '5\x0c', '5\x1f', '5\x7f', '\xa05', '5\x85'),
    *('9' * 30, '9' * 5000),
)
_CODINGS = (
    *('gzip', 'identity', 'x-chunked', 'chunke', 'chunkedd', 'ch unked', ''),
    *('chunked x', 'chunked;q=1', 'chunked,', ',chunked', '"chunked"'),
    *('gzip, chunked', 'chunked, gzip', 'chunked, chunked', '\r\n chunked'),
    *('chunked\x00', '\x00chunked', '\x0bchunked', 'chunked\x0c', 'chunked\r'),
    *('chunked\xa0', '\x85chunked'),
)
_MALFORMED_FRAMINGS = {
    **{
        f'length {text[:12]!r}': build_text(f'Content-Length: {text}\r\n')
        for text in _LENGTHS
    },
    **{
        f'coding {text!r}': build_text(f'Transfer-Encoding: {text}\r\n', CHUNKS)
        for text in _CODINGS
    },
    'length twice': build_text(_LENGTH * 2),
    'two lengths': build_text(f'{_LENGTH}Content-Length: 6\r\n'),
    'coding twice': build_text(_CODING * 2, CHUNKS),
    'two codings': build_text(f'Transfer-Encoding: gzip\r\n{_CODING}', CHUNKS),
    'length and coding': build_text(f'{_LENGTH}{_CODING}', CHUNKS),
    'coding and length': build_text(f'{_CODING}{_LENGTH}', CHUNKS),
    'coding in HTTP/1.0': build_text(_CODING, CHUNKS, 'HTTP/1.0 200 X'),
    '204 with a length': build_text(_LENGTH, '', _NO_CONTENT),
    '204 with a body': build_text(_LENGTH, BODY, _NO_CONTENT),
    '204 with a coding': build_text(_CODING, '', _NO_CONTENT),
    '204 with chunks': build_text(_CODING, CHUNKS, _NO_CONTENT),
    '204 with a long chunk': build_text(
        _CODING, f'30000\r\n{"x" * 0x30000}\r\n0\r\n\r\n', _NO_CONTENT
    ),
    'interim answer with a length': (
        f'HTTP/1.1 103 X\r\n{_LENGTH}\r\n{build_text(_LENGTH)}'
    ),
    'interim answer with a coding': (
        f'HTTP/1.1 103 X\r\n{_CODING}\r\n{build_text(_LENGTH)}'
    ),
    'interim length': (
        f'HTTP/1.1 103 X\r\nContent-Length: +5\r\n\r\n{build_text(_LENGTH)}'
    ),
}

# Characters that are not allowed in a name and in a value (RFC 9110, 5.1, 5.5).
_NAME_CHARACTERS = (
    ' \t\x00\x01\x0b\x0c\x1f\x7f\x80\xa0\xe9\xff"(),/;<=>?@[\x5c]{}'
)
_VALUE_CHARACTERS = '\x00\x01\x08\x0b\x0c\r\x0e\x1b\x1f\x7f'
_NO_FIELDS = (
    *('no field at all', 'X-Other', ':', ': 1', ' : 1', 'From a stranger'),
    *('From a: 1', 'HTTP/1.1 200 X', ' X-Other: 1', '\tX-Other: 1', ' ', '\t'),
    *('\x00', '\r', 'Content-Length : 5', 'Transfer-Encoding : chunked'),
    *(f'X{each}Other: 1' for each in _NAME_CHARACTERS),
    *(f'X-Other{each}: 1' for each in ' \t\x00'),
    *(f'X-Other: a{each}b' for each in _VALUE_CHARACTERS),
)
_MALFORMED_FIELDS = {
    **{
        f'first line {line!r}': build_text(f'{line}\r\n{_LENGTH}')
        for line in _NO_FIELDS
    },
    **{
        f'last line {line!r}': build_text(_LENGTH).replace(
            '{fields}', f'{{fields}}{line}\r\n'
        )
        for line in _NO_FIELDS[:16]
    },
    **{
        f'interim line {line!r}': (
            f'HTTP/1.1 103 X\r\n{line}\r\n\r\n{build_text(_LENGTH)}'
        )
        for line in _NO_FIELDS[:16]
    },
}

_CHUNK_ENDS = (
    *('', 'XX', 'X', '\n\n', '\n', '\r\r', '\n\r', '  ', '\x00\x00', ' \r'),
    *(' \r\n', '\r\n\r\n', 'whole\r\n'),
)
_LAST_CHUNKS = (
    *('0x0\r\n\r\n', '-0\r\n\r\n', '0\r\n \r\n', '0\r\n\x0b\r\n'),
    *('0\r\n\r\r\n\r\n', '0\r\nno field\r\n\r\n', '0\r\n: 1\r\n\r\n'),
    *('0\r\nX A: 1\r\n\r\n', '0\r\nX-A: a\x00\r\n\r\n'),
    *('0\r\n X-A: 1\r\n\r\n',),
)
_MALFORMED_CHUNKS = {
    **{
        f'chunk end {end!r}': build_text(_CODING, f'5\r\n{BODY}{end}0\r\n\r\n')
        for end in _CHUNK_ENDS
    },
    **{
        f'last chunk {last!r}': build_text(_CODING, f'5\r\n{BODY}\r\n{last}')
        for last in _LAST_CHUNKS
    },
}

_LINE_FEEDS = build_text(_LENGTH).replace('\r\n', '\n')
_MALFORMED_LINE_ENDS = {
    'line feed behind the status line': (
        f'HTTP/1.1 200 X\n{_LENGTH}{{fields}}\r\n{BODY}'
    ),
    'line feed behind a length': build_text('Content-Length: 5\n'),
    'line feed at the end of a value': build_text(f'{_LENGTH}X-Other: 1\n\r\n'),
    'line feed behind all fields': (
        f'HTTP/1.1 200 X\r\n{{fields}}{_LENGTH}X-Other: \n\r\n\r\n{BODY}'
    ),
    'line feed as a value': build_text(f'{_LENGTH}X-Other: \n\r\n'),
    'line feed for a line': build_text(f'{_LENGTH}\n'),
    'line feed for the last line': (
        f'HTTP/1.1 200 X\r\n{_LENGTH}{{fields}}\n{BODY}'
    ),
    'return behind the status line': _LINE_FEEDS.replace('X\n', 'X\r\n'),
    'return behind a length': _LINE_FEEDS.replace('5\n', '5\r\n'),
    'return for the last line': _LINE_FEEDS.replace('\nwhole', '\r\nwhole'),
    'line feed in an interim head': (
        f'HTTP/1.1 103 X\r\nLink: a\n\r\n{build_text(_LENGTH)}'
    ),
}

MALFORMED_ANSWERS = {
    **_MALFORMED_STATUS_LINES,
    **_MALFORMED_FRAMINGS,
    **_MALFORMED_FIELDS,
    **_MALFORMED_CHUNKS,
    **_MALFORMED_LINE_ENDS,
}

# Statuses that no body follows, with what would be said of it.
BODILESS_ANSWERS = {
    '204': build_text('', '', _NO_CONTENT),
    '204 with length 0': build_text('Content-Length: 0\r\n', '', _NO_CONTENT),
    '304': build_text('', '', 'HTTP/1.1 304 X'),
    '304 with a length': build_text(_LENGTH, '', 'HTTP/1.1 304 X'),
    '304 with a coding': build_text(_CODING, '', 'HTTP/1.1 304 X'),
}

UNUSUAL_ANSWERS = {
    'no blank': build_text('Content-Length:5\r\n'),
    'blanks': build_text('Content-Length: \t 5 \t\r\n'),
    'leading zeros': build_text('Content-Length: 005\r\n'),
    'capitals': build_text('CONTENT-LENGTH: 5\r\n'),
    'line feeds': _LINE_FEEDS,
    'no reason': build_text(_LENGTH, status_line='HTTP/1.1 200'),
    'empty reason': build_text(_LENGTH, status_line='HTTP/1.1 200 '),
    'reason of words': build_text(
        _LENGTH, status_line='HTTP/1.1 200 It\tis \xe9'
    ),
    'older version': build_text(_LENGTH, status_line='HTTP/1.0 200 X'),
    'newer version': build_text(_LENGTH, status_line='HTTP/1.2 200 X'),
    'no length': build_text(''),
    'no length in HTTP/1.0': build_text('', status_line='HTTP/1.0 200 X'),
    'chunks': build_text(_CODING, CHUNKS),
    'chunks in capitals': build_text('Transfer-Encoding: CHUNKED\r\n', CHUNKS),
    'chunks and blanks': build_text(
        'Transfer-Encoding:\tchunked \t\r\n', CHUNKS
    ),
    'trailer': build_text(
        _CODING, f'5;x=1\r\n{BODY}\r\n0;y\r\nX-A: 1\r\nX-B:\r\n\r\n'
    ),
    'name of all characters': build_text(
        f"!#$%&'*+-.^_`|~09azAZ: 1\r\n{_LENGTH}"
    ),
    'empty value': build_text(f'X-Other:\r\n{_LENGTH}'),
    'value of all characters': build_text(
        f'X-Other: \x21\x7e \t\x80\xa0\xff:\r\n{_LENGTH}'
    ),
    'value that begins like a mailbox': build_text(f'From: a\r\n{_LENGTH}'),
    'interim answers': (
        f'HTTP/1.1 100\r\n\r\nHTTP/1.1 103 X\r\nLink: a\r\n\r\n'
        f'{build_text(_LENGTH)}'
    ),
}
