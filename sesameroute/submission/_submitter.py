"""Submission of statements, each applied at most once.

A submission is one compare-and-swap. If its answer is lost, the ids in the
stored configuration show whether it was accepted.
"""

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
from sesameroute.submission._configuration_store import ConfigurationStore
from sesameroute.submission._difference import describe_difference
from sesameroute.submission._stored_configuration import (
    MAX_RECENT_SUBMISSIONS,
    StoredConfiguration,
    require_up_to_date,
)

__all__ = ['Submitter']


class Submitter:
    """Checks statements and stores them, each at most once.

    Parameters
    ----------
    configurations : ConfigurationStore
        Access to the institution's stored configuration.

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
        statement : Statement
            The statement to submit.
        based_on : int, optional
            Version that the operator edited; if given, it must still be the
            stored one. By default, the stored version is replaced whatever
            it is.
        known_version : int, optional
            Highest version in force on any entry VM. The new version is
            above it, even if the store has lost that version.

        Raises
        ------
        InputError
            The statement has errors; nothing was sent.
        ConflictError
            Another submission was accepted first; the message shows the
            difference if it could be read.
        StoreUnreachableError
            The store could not be reached; nothing was changed.
        StoreOutcomeUnknownError
            An answer was lost; the statement may have been accepted.

        """
        _require_valid(statement)
        base = self.configurations.read()
        if based_on is not None:
            require_up_to_date(base, known_version)
        if based_on not in {None, base.version}:
            raise ConflictError(
                f'the store has version {base.version}, not {based_on}\n'
                f'{describe_difference(print_statement(statement), base.text)}',
            )
        return self._store_statement(base, statement, known_version)

    def edit(
        self,
        change: Callable[[Statement], Statement],
        known_version: int = 0,
    ) -> Configuration:
        """Apply a change to the newest statement and submit the result.

        If another submission is accepted first, the change is applied to the
        new statement.

        Parameters
        ----------
        change : callable
            Takes a statement and returns the changed one; an equal statement
            is not submitted.
        known_version : int, optional
            Highest version in force on any entry VM.

        Returns
        -------
        Configuration
            The accepted configuration, or the stored one if nothing changed.

        Raises
        ------
        InputError
            There is no statement yet, or the changed one has errors.
        ConflictError
            Other submissions were accepted first until the time for retries
            ended, or the store has an older version than the entry VMs.
        StoreUnreachableError
            The store could not be reached; nothing was changed.
        StoreOutcomeUnknownError
            An answer was lost; the change may have been accepted.

        """
        conflict = ConflictError('other submissions were accepted first')
        for _ in self.configurations.iterate_attempts():
            base = self._read_existing()
            before = read_statement(base.text, f'version {base.version}')
            after = change(before)
            if after == before:
                return base.configuration
            _require_valid(after)
            try:
                return self._store_if_up_to_date(base, after, known_version)
            except ConflictError as error:
                conflict = error
        raise conflict

    def preview(
        self,
        change: Callable[[Statement], Statement],
    ) -> tuple[Statement, Statement]:
        """Return the newest statement before and after a change.

        Nothing is submitted.

        Raises
        ------
        InputError
            There is no statement yet, or the changed one has errors.
        StoreUnreachableError
            The store could not be reached.

        """
        base = self._read_existing()
        before = read_statement(base.text, f'version {base.version}')
        after = change(before)
        _require_valid(after)
        return before, after

    def _read_existing(self) -> StoredConfiguration:
        """Return the stored configuration; raise InputError if none."""
        base = self.configurations.read()
        if base.configuration is None:
            key = self.configurations.key
            raise InputError(f'no statement is stored under {key}')
        return base

    def _store_if_up_to_date(
        self,
        base: StoredConfiguration,
        statement: Statement,
        known_version: int,
    ) -> Configuration:
        require_up_to_date(base, known_version)
        return self._store_statement(base, statement, known_version)

    def _store_statement(
        self,
        base: StoredConfiguration,
        statement: Statement,
        known_version: int,
    ) -> Configuration:
        configuration = Configuration(
            version=max(base.version, known_version) + 1,
            submission=uuid.uuid4().hex,
            text=print_statement(statement),
            recent=base.submissions[:MAX_RECENT_SUBMISSIONS],
        )
        self.configurations.replace(base, configuration)
        return configuration


def _require_valid(statement: Statement) -> None:
    """Raise InputError if the statement has errors or does not read back."""
    reread = read_statement(print_statement(statement))
    if reread != statement:
        raise InputError('statement changes when printed as INI and read back')
    errors = [
        str(finding)
        for finding in check_statement(statement)
        if finding.severity is Severity.ERROR
    ]
    if errors:
        raise InputError('\n'.join(errors))
