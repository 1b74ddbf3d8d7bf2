"""Tests of reading the pause that a backend server asks for."""

import pytest

from sesameroute.platform import PlatformHeaderCodec
from sesameroute.ports import Answer


@pytest.mark.parametrize(
    ('text', 'pause'),
    [
        ('2', 2),
        (' 0.75 ', 0.75),
        ('.5', 0.5),
        ('3.', 3),
        ('0', 0),
        ('86400', 600),
        ('9' * 400, 600),
        ('', 0),
        ('-1', 0),
        ('+1', 0),
        ('1e3', 0),
        ('inf', 0),
        ('nan', 0),
        ('1_0', 0),
        ('2 s', 0),
        ('１', 0),
        ('Wed, 21 Oct 2026 07:28:00 GMT', 0),
    ],
)
def test_pause_is_read_in_refusals_alone(text, pause):
    """What is no number of seconds says nothing; a long time is bounded."""
    header_codec = PlatformHeaderCodec()
    headers = (('Retry-After', text),)
    read = [
        header_codec.read_answer_metadata(Answer(status, headers)).pause
        for status in (503, 200, 429, 500)
    ]
    assert read == [pause, 0, 0, 0]
