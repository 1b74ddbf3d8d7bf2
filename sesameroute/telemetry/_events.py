"""Event log: one line per event, as key=value pairs or JSON."""

import json
import logging
import re
import sys
from datetime import UTC, datetime
from itertools import count
from typing import Any, TextIO

from pythonjsonlogger.json import JsonFormatter

from sesameroute.telemetry._log_format import LogFormat

__all__ = ['EventLog', 'KeyValueFormatter']

_UNQUOTED_VALUE = re.compile(r'[^\s="\\\x00-\x1f\x7f-\x9f\u2028\u2029]+')
_LOGGER_IDS = count()


class KeyValueFormatter(JsonFormatter):
    """Formats the JSON formatter's fields as key=value pairs.

    Examples
    --------
    >>> KeyValueFormatter().jsonify_log_record(
    ...     {'event': 'vm-lost', 'vm': 'a 1'}
    ... )
    'event=vm-lost vm="a 1"'

    """

    def jsonify_log_record(self, log_data: dict[str, Any]) -> str:
        """Return the fields of a record as one key=value line."""
        return ' '.join(
            f'{name}={_encode_value(field_value)}'
            for name, field_value in log_data.items()
        )


class EventLog:
    """Writes one line per event, with a time stamp, level and fields.

    Parameters
    ----------
    node : str
        Name of the VM or program, written in the field `node` of every line.
    log_format : LogFormat
        Key=value pairs or JSON.
    stream : file, optional
        Stream to write to; standard error by default.
    level : str
        Lowest level that is written, such as ``info``.

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
        log_format: LogFormat | str = LogFormat.KEYVALUE,
        stream: TextIO | None = None,
        level: str = 'info',
    ) -> None:
        """Store the parameters and create the logger."""
        self.node = node
        self.log_format = LogFormat(log_format)
        self._logger = _create_logger(
            self.log_format, stream or sys.stderr, level
        )

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


def _create_logger(
    log_format: LogFormat, stream: TextIO, level: str
) -> logging.Logger:
    # Not registered with `logging.getLogger`: `sesame-local` runs many nodes
    # in one process, and each needs its own stream and level.
    logger = logging.Logger(  # noqa: LOG001
        f'sesameroute.{next(_LOGGER_IDS)}',
        level.upper(),
    )
    handler = logging.StreamHandler(stream)
    handler.setFormatter(
        JsonFormatter(())
        if log_format is LogFormat.JSON
        else KeyValueFormatter(()),
    )
    logger.addHandler(handler)
    return logger


def _encode_value(field_value: Any) -> str:
    encoded = str(field_value)
    if _UNQUOTED_VALUE.fullmatch(encoded):
        return encoded
    return json.dumps(encoded)
