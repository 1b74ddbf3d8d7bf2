"""Log of events: one line of key=value pairs, or JSON, for each."""

import json
import logging
import re
import sys
from datetime import UTC, datetime
from itertools import count
from typing import Any, TextIO

from pythonjsonlogger.json import JsonFormatter

from sesameroute.telemetry._form import LogFormat

__all__ = ['EventLog', 'PairsFormatter']

_PLAIN = re.compile(r'[^\s="\\\x00-\x1f\x7f-\x9f\u2028\u2029]+')
_LOGGER_NUMBERS = count()


class PairsFormatter(JsonFormatter):
    """Writes the JSON formatter's fields as key=value pairs.

    Examples
    --------
    >>> PairsFormatter().jsonify_log_record({'event': 'vm-lost', 'vm': 'a 1'})
    'event=vm-lost vm="a 1"'

    """

    def jsonify_log_record(self, log_data: dict[str, Any]) -> str:
        """Return the fields of a record as one line."""
        return ' '.join(
            f'{name}={_quote_value(content)}'
            for name, content in log_data.items()
        )


class EventLog:
    """Writes events with their fields.

    Parameters
    ----------
    node : str
        Name of the VM or program that every line starts with.
    form : LogFormat
        Pairs or JSON.
    stream : file, optional
        Where to write; standard error by default.
    level : str
        Least level that is written, such as ``info``.

    Examples
    --------
    >>> import io
    >>> lines = io.StringIO()
    >>> EventLog('entry-1', stream=lines).write('vm-lost', vm='entry-2')
    >>> lines.getvalue().strip().split(' ', 1)[1]
    'level=info node=entry-1 event=vm-lost vm=entry-2'

    """

    def __init__(
        self,
        node: str,
        form: LogFormat | str = LogFormat.KEYVALUE,
        stream: TextIO | None = None,
        level: str = 'info',
    ) -> None:
        """Store the parameters and open the logger."""
        self.node = node
        self.form = LogFormat(form)
        self._logger = _open_logger(self.form, stream or sys.stderr, level)

    def write(self, event: str, **fields: Any) -> None:
        """Write one event of level ``info``."""
        self._write(logging.INFO, event, fields)

    def warn(self, event: str, **fields: Any) -> None:
        """Write one event of level ``warning``."""
        self._write(logging.WARNING, event, fields)

    def _write(self, level: int, event: str, fields: dict[str, Any]) -> None:
        if self._logger.isEnabledFor(level):
            now = datetime.now(UTC).isoformat(timespec='milliseconds')
            self._logger.log(
                level,
                {
                    'time': now,
                    'level': logging.getLevelName(level).lower(),
                    'node': self.node,
                    'event': event,
                    **fields,
                },
            )


def _open_logger(form: LogFormat, stream: TextIO, level: str) -> logging.Logger:
    # A logger outside of the global tree: many nodes share one process in
    # the local harness, and each needs its own stream and level.
    logger = logging.Logger(  # noqa: LOG001
        f'sesameroute.{next(_LOGGER_NUMBERS)}',
        level.upper(),
    )
    handler = logging.StreamHandler(stream)
    handler.setFormatter(
        JsonFormatter(()) if form is LogFormat.JSON else PairsFormatter(()),
    )
    logger.addHandler(handler)
    return logger


def _quote_value(content: Any) -> str:
    text = str(content)
    if _PLAIN.fullmatch(text):
        return text
    return json.dumps(text)
