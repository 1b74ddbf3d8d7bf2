"""Reloads the settings file of a node when it has changed."""

import logging
import os
from pathlib import Path

from sesameroute.exceptions import InputError
from sesameroute.node._settings import NodeSettings, parse_node_settings

__all__ = ['SettingsFile']

# Changes of these sections apply only after a restart: sockets, names and
# connections are created from them once.
_RESTART_SECTIONS = ('node', 'listen', 'store')

_logger = logging.getLogger(__name__)


class SettingsFile:
    """A settings file and the settings in force.

    Parameters
    ----------
    path : str or path-like
        The INI file.

    Attributes
    ----------
    settings : NodeSettings
        The settings in force. A changed file that cannot be read or is not
        valid leaves them as they are.

    Raises
    ------
    InputError
        The file cannot be read or is not valid at the start.

    """

    def __init__(self, path: str | os.PathLike[str]) -> None:
        """Read the file."""
        self.path = Path(path)
        self._text = self._read()
        self.settings = parse_node_settings(self._text, str(path))
        self._last_error = ''

    def reload(self) -> bool:
        """Read the file again; return whether the settings have changed."""
        try:
            text = self._read()
            if text == self._text:
                return False
            new_settings = parse_node_settings(text, str(self.path))
        except InputError as error:
            self._log_error(error)
            return False
        self._text = text
        self._last_error = ''
        self._apply(new_settings)
        return True

    def _read(self) -> str:
        try:
            return self.path.read_text(encoding='utf-8')
        except (OSError, ValueError) as error:
            raise InputError(f'{self.path}: {error}') from error

    def _log_error(self, error: InputError) -> None:
        if error.message != self._last_error:
            self._last_error = error.message
            _logger.warning('settings refused', extra={'why': error.message})

    def _apply(self, new_settings: NodeSettings) -> None:
        old_settings = self.settings
        changed = [
            section
            for section in old_settings.__struct_fields__
            if getattr(new_settings, section) != getattr(old_settings, section)
        ]
        restart_sections = [
            section for section in changed if section in _RESTART_SECTIONS
        ]
        for section in restart_sections:
            setattr(new_settings, section, getattr(old_settings, section))
        self.settings = new_settings
        _logger.info(
            'settings changed',
            extra={
                'sections': ','.join(changed) or '-',
                'after_restart': ','.join(restart_sections) or '-',
            },
        )
