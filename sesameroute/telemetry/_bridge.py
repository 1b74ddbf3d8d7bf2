"""Forwards records of the `logging` module to the event log."""

import logging

from sesameroute.telemetry._events import EventLog

__all__ = ['LogBridge']

_STANDARD_ATTRIBUTES = frozenset(
    vars(logging.LogRecord('', 0, '', 0, '', (), None)),
) | {'message', 'asctime'}


class LogBridge(logging.Handler):
    """Logging handler that writes the package's log records as events.

    Packages with routing and delivery logic don't import telemetry. They log
    through `logging` and pass the fields of the event in `extra`. The message
    becomes the event's name, with hyphens in place of spaces.

    Parameters
    ----------
    log : EventLog
        Event log to write to.

    Examples
    --------
    >>> import io
    >>> lines = io.StringIO()
    >>> logger = logging.Logger('part')
    >>> logger.addHandler(LogBridge(EventLog('entry-1', stream=lines)))
    >>> logger.warning('epoch opened', extra={'epoch': 2})
    >>> lines.getvalue().strip().split(' ', 1)[1]
    'level=warning node=entry-1 event=epoch-opened epoch=2'

    """

    def __init__(self, log: EventLog) -> None:
        """Store the parameter."""
        super().__init__()
        self.log = log

    def emit(self, record: logging.LogRecord) -> None:
        """Write one log record as an event."""
        event = record.getMessage().replace(' ', '-')
        fields = {
            name: field_value
            for name, field_value in vars(record).items()
            if name not in _STANDARD_ATTRIBUTES
        }
        if record.levelno >= logging.WARNING:
            self.log.warn(event, **fields)
        else:
            self.log.write(event, **fields)
