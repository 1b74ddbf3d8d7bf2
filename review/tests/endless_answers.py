"""The servers of one service send bytes that are no answer, without end."""

import threading
import time
from functools import partial

import standins

_PRESS_SECONDS = 25
_AFTER_SECONDS = 10
_BAD_PER_SECOND = 40
_SOUND_PER_SECOND = 10
_TIMEOUT_SECONDS = 1.2  # timeout_ms of the routes
_LATE_SECONDS = _TIMEOUT_SECONDS + 0.5
_CLIENT_SECONDS = 3  # a client leaves after that
_PACE_SECONDS = 0.1
_HEAD = (
    'GET /{0}/x HTTP/1.1\r\nHost: a.example\r\n'
    'Sesameroute-Deadline-Ms: 3000\r\nSesameroute-Attempt-Id: {1}\r\n\r\n'
)
_ROUTES = tuple(
    {'name': f'r-{name}', 'path_prefix': f'/{name}/', 'service': f's-{name}'}
    for name in ('bad', 'sound')
)


class EndlessServer(standins.Server):
    """Sends bytes without end, until the caller closes."""

    def answer(self, sock, request, body=b''):
        """Run a request; send a head that has no end."""
        self.note(request)
        sock.sendall(b'HTTP/1.1 200 OK\r\nX-')
        while self.listening:
            sock.sendall(b'xyz')
            time.sleep(_PACE_SECONDS)
        return False


class Judge:
    """Sends requests and notes how long they take."""

    def __init__(self, node, record):
        """Start without requests."""
        self.node = node
        self.record = record
        self.waits = {'bad': [], 'sound': []}
        self.pressed_until = time.monotonic() + _PRESS_SECONDS
        self.ends = self.pressed_until + _AFTER_SECONDS

    def send(self, name, identifier):
        """Send a request on a new connection; wait for the final answer."""
        client = standins.Client(self.node.front)
        sent_at = time.monotonic()
        content = _HEAD.format(name, identifier).encode()
        status = client.ask(content, _CLIENT_SECONDS)[0]
        client.close()
        seconds = time.monotonic() - sent_at
        self.waits[name].append((sent_at, status, seconds))
        self.record.write(
            f'{name} id={identifier}: {status or "no answer"} '
            f'after {seconds:.2f} s'
        )

    def press(self, name, per_second, until):
        """Send requests at a steady rate."""
        count = 0
        threads = []
        while time.monotonic() < until:
            count += 1
            identifier = f'{name[0]}{count:07x}'
            threads.append(
                threading.Thread(target=self.send, args=(name, identifier))
            )
            threads[-1].start()
            time.sleep(1 / per_second)
        for thread in threads:
            thread.join()

    def find_late(self, name, since=0):
        """Return requests that outlast the time-out, and the late of them."""
        longer = [
            seconds
            for sent_at, _, seconds in self.waits[name]
            if seconds > _TIMEOUT_SECONDS and sent_at > since
        ]
        return longer, [each for each in longer if each > _LATE_SECONDS]


def play(files, record, has_trouble):
    """Play the case; return what broke the rule."""
    build = EndlessServer if has_trouble else standins.Server
    servers = [build(f'i-b{number}', 's-bad', record) for number in range(12)]
    servers += [
        standins.Server(f'i-s{number}', 's-sound', record)
        for number in range(6)
    ]
    node = standins.start_node(files, servers, _ROUTES)
    judge = Judge(node, record)
    standins.run_side_by_side(
        (
            partial(judge.press, 'bad', _BAD_PER_SECOND, judge.pressed_until),
            partial(judge.press, 'sound', _SOUND_PER_SECOND, judge.ends),
        )
    )
    faults = []
    for name, since in (('bad', 0), ('sound', judge.pressed_until)):
        longer, late = judge.find_late(name, since)
        sent = [each for each in judge.waits[name] if each[0] > since]
        record.write(
            f'{name}: {len(sent)} requests'
            f'{", after the others have ended" if since else ""}; '
            f'{len(longer)} lasted longer than timeout_ms, {len(late)} of '
            'them had no final answer half a second after it'
        )
        if len(late) >= 8 and len(late) > len(longer) / 4:
            faults.append(f'{len(late)} of {len(sent)} {name}')
    if faults:
        return f'CONFIG: no final answer: {", ".join(faults)}'
    return ''


if __name__ == '__main__':
    standins.run_case(play)
