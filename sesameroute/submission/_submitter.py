"""Submissions: one compare-and-swap, settled even when answers get lost."""

import uuid
from collections.abc import Callable

from sesameroute.exceptions import ConflictError, InputError
from sesameroute.membership import Configuration
from sesameroute.statement import (
    Severity,
    Statement,
    check_statement,
    print_statement,
    read_statement,
)
from sesameroute.submission._base import (
    RECENT_SUBMISSIONS,
    Base,
    require_current,
)
from sesameroute.submission._configuration_store import ConfigurationStore
from sesameroute.submission._difference import describe_difference

__all__ = ['Submitter']


class Submitter:
    """Submits statements, each at most once.

    Parameters
    ----------
    configurations : ConfigurationStore
        Where the institution's configuration is kept.

    """

    def __init__(self, configurations: ConfigurationStore) -> None:
        """Store the parameters."""
        self.configurations = configurations

    def submit(
        self,
        statement: Statement,
        based_on: int | None = None,
        known_version: int = 0,
    ) -> Configuration:
        """Submit a statement and return the accepted configuration.

        Parameters
        ----------
        based_on : int, optional
            Version that the operator started from; the newest by default.
        known_version : int, optional
            Highest version seen in the fleet; the new one is above it, also
            when the store has lost it.

        Raises
        ------
        InputError
            The statement can't hold; nothing was sent.
        ConflictError
            Another submission came first; the message has the difference.
        StoreDownError
            Nothing took effect.
        StoreUnknownError
            The statement may have been accepted.

        """
        _require_sound(statement)
        base = self.configurations.read()
        if based_on is not None:
            require_current(base, known_version)
        if based_on not in {None, base.version}:
            raise ConflictError(
                f'version {base.version} is in the store, not {based_on}\n'
                f'{describe_difference(print_statement(statement), base.text)}',
            )
        return self._place(base, statement, known_version)

    def edit(
        self,
        change: Callable[[Statement], Statement],
        known_version: int = 0,
    ) -> Configuration:
        """Apply a change to the newest statement, again after a lost race.

        Parameters
        ----------
        change : callable
            Returns the changed statement; an equal one is not submitted.

        Raises
        ------
        InputError
            There is no statement yet, or the changed one can't hold.
        ConflictError
            Races were lost until the patience ended.

        """
        conflict = ConflictError('no race was won in time')
        for _ in self.configurations.pace():
            base = self._read_existing()
            before = read_statement(base.text, f'version {base.version}')
            after = change(before)
            if after == before:
                return base.configuration
            _require_sound(after)
            try:
                return self._place_above(base, after, known_version)
            except ConflictError as error:
                conflict = error
        raise conflict

    def plan(
        self,
        change: Callable[[Statement], Statement],
    ) -> tuple[Statement, Statement]:
        """Return the newest statement before and after a change.

        Raises
        ------
        InputError
            There is no statement yet, or the changed one can't hold.

        """
        base = self._read_existing()
        before = read_statement(base.text, f'version {base.version}')
        after = change(before)
        _require_sound(after)
        return before, after

    def _read_existing(self) -> Base:
        base = self.configurations.read()
        if base.configuration is None:
            key = self.configurations.key
            raise InputError(f'no statement is stored under {key}')
        return base

    def _place_above(
        self,
        base: Base,
        statement: Statement,
        known_version: int,
    ) -> Configuration:
        require_current(base, known_version)
        return self._place(base, statement, known_version)

    def _place(
        self,
        base: Base,
        statement: Statement,
        known_version: int,
    ) -> Configuration:
        configuration = Configuration(
            version=max(base.version, known_version) + 1,
            submission=uuid.uuid4().hex,
            text=print_statement(statement),
            recent=base.submissions[:RECENT_SUBMISSIONS],
        )
        self.configurations.replace(base, configuration)
        return configuration


def _require_sound(statement: Statement) -> None:
    printed = read_statement(print_statement(statement))
    if printed != statement:
        raise InputError('statement reads back changed')
    errors = [
        str(finding)
        for finding in check_statement(statement)
        if finding.severity is Severity.ERROR
    ]
    if errors:
        raise InputError('\n'.join(errors))
