"""Reads the settings file again when it has changed."""

import logging
import os
from pathlib import Path

from sesameroute.exceptions import InputError
from sesameroute.node._settings import NodeSettings, parse_node_settings

__all__ = ['SettingsFile']

# Sockets, names and connections are made from these sections once.
_FIXED = ('node', 'listen', 'store')

_logger = logging.getLogger(__name__)


class SettingsFile:
    """The settings in force and the file that they came from.

    Parameters
    ----------
    path : str or path-like
        The INI file.

    Attributes
    ----------
    settings : NodeSettings
        In force; a file that cannot be read or is wrong changes nothing.

    Raises
    ------
    InputError
        The file cannot be read or is wrong at the start.

    """

    def __init__(self, path: str | os.PathLike[str]) -> None:
        """Read the file."""
        self.path = Path(path)
        self._text = self._read()
        self.settings = parse_node_settings(self._text, str(path))
        self._failure = ''

    def reload(self) -> bool:
        """Read the file again; return whether other settings are in force."""
        try:
            text = self._read()
            if text == self._text:
                return False
            found = parse_node_settings(text, str(self.path))
        except InputError as error:
            self._note(error)
            return False
        self._text = text
        self._failure = ''
        self._adopt(found)
        return True

    def _read(self) -> str:
        try:
            return self.path.read_text(encoding='utf-8')
        except (OSError, ValueError) as error:
            raise InputError(f'{self.path}: {error}') from error

    def _note(self, error: InputError) -> None:
        if error.message != self._failure:
            self._failure = error.message
            _logger.warning('settings refused', extra={'why': error.message})

    def _adopt(self, found: NodeSettings) -> None:
        before = self.settings
        changed = [
            title
            for title in before.__struct_fields__
            if getattr(found, title) != getattr(before, title)
        ]
        fixed = [title for title in changed if title in _FIXED]
        for title in fixed:
            setattr(found, title, getattr(before, title))
        self.settings = found
        _logger.info(
            'settings changed',
            extra={
                'sections': ','.join(changed) or '-',
                'after_restart': ','.join(fixed) or '-',
            },
        )
