"""SIGHUP comes soon after the start of a node; no numbered case."""

import signal
import time

import standins

_STARTS = 12
_STEP_SECONDS = 0.05


def play(files, record, has_trouble):
    """Play it; return what broke the rule."""
    # Processes inherit that SIGHUP is ignored, as under `nohup`.
    signal.signal(signal.SIGHUP, signal.SIG_DFL)
    store = standins.build_store([], [])
    ended = 0
    for number in range(_STARTS):
        node = standins.Node(store, files, f'node-{number}')
        time.sleep((number + 1) * _STEP_SECONDS)
        if has_trouble:
            node.process.send_signal(signal.SIGHUP)
        time.sleep(1)
        code = node.process.poll()
        ended += code is not None
        record.write(
            f'SIGHUP {(number + 1) * _STEP_SECONDS:.2f} s after the start: '
            f'{"runs" if code is None else f"ended with {code}"}'
        )
        node.stop()
    if ended:
        return f'Fault: {ended} of {_STARTS} processes ended by SIGHUP'
    return ''


if __name__ == '__main__':
    standins.run_case(play)
