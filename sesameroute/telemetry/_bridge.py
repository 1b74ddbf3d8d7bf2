"""Events that the decisions log through the standard library."""

import logging

from sesameroute.telemetry._events import EventLog

__all__ = ['LogBridge']

_STANDARD = frozenset(
    vars(logging.LogRecord('', 0, '', 0, '', (), None)),
) | {'message', 'asctime'}


class LogBridge(logging.Handler):
    """Writes records of the package's loggers as events.

    The decisions know no telemetry; they log through `logging` with their
    fields in `extra`.

    Parameters
    ----------
    log : EventLog
        Where the events go.

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
        """Store the event log."""
        super().__init__()
        self.log = log

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record."""
        event = record.getMessage().replace(' ', '-')
        fields = {
            name: content
            for name, content in vars(record).items()
            if name not in _STANDARD
        }
        if record.levelno >= logging.WARNING:
            self.log.warn(event, **fields)
        else:
            self.log.write(event, **fields)
