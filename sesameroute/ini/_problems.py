"""Collects the problems of one INI file and reports them in one error."""

from collections.abc import Iterator, Mapping
from types import MappingProxyType
from typing import Any, TypeVar

from pydantic import BaseModel, ValidationError

from sesameroute.exceptions import InputError

__all__ = ['ProblemList']

ModelType = TypeVar('ModelType', bound=BaseModel)

# Invalid values are cut to this length in error messages.
_MAX_SHOWN_CHARACTERS = 60

_SECRET_TYPE = 'secret'

# Descriptions of the JSON schema types and formats in error messages.
_TYPE_DESCRIPTIONS = MappingProxyType(
    {
        'ipvanyaddress': 'IP address',
        'password': _SECRET_TYPE,
        'boolean': 'yes or no',
        'array': 'comma-separated list',
    }
)

# Descriptions of the JSON schema constraints; the constraint's value follows.
_CONSTRAINT_DESCRIPTIONS = MappingProxyType(
    {
        'minimum': 'from',
        'exclusiveMinimum': 'above',
        'maximum': 'up to',
        'exclusiveMaximum': 'below',
        'minLength': 'with minimum length',
        'maxLength': 'with maximum length',
        'minItems': 'with minimum item count',
        'pattern': 'matching',
    }
)


class ProblemList:
    """Collects the problems found in one INI file.

    Parameters
    ----------
    source : str
        Name of the file, shown at the start of each problem.

    Examples
    --------
    >>> problems = ProblemList('some.ini')
    >>> problems.add('log', 'key is missing', 'level')
    >>> problems.raise_if_any()
    Traceback (most recent call last):
    sesameroute.exceptions.InputError: some.ini: [log] level: key is missing

    """

    def __init__(self, source: str) -> None:
        """Start with an empty list."""
        self.source = source
        self._lines: list[str] = []

    def add(self, title: str, message: str, key: str = '') -> None:
        """Add a problem with a section or, if `key` is given, with a key.

        Parameters
        ----------
        title : str
            Section title, without brackets.
        message : str
            Description of the problem.
        key : str, optional
            Key within the section.

        """
        location = f'[{title}] {key}'.rstrip()
        self._lines.append(f'{self.source}: {location}: {message}')

    def validate(
        self,
        model: type[ModelType],
        title: str,
        fields: Mapping[str, Any],
    ) -> ModelType | None:
        """Validate the keys and values of a section.

        Parameters
        ----------
        model : type of BaseModel
            Model of the section.
        title : str
            Section title, used in the reported problems.
        fields : mapping of str to any
            Values by key.

        Returns
        -------
        BaseModel or None
            The validated section; None if it is invalid, in which case one
            problem per invalid key was added.

        """
        try:
            return model.model_validate(dict(fields))
        except ValidationError as error:
            for key, message in _describe_errors(model, error):
                self.add(title, message, key)
        return None

    def raise_if_any(self) -> None:
        """Raise InputError with one line per problem, if there are any."""
        if self._lines:
            raise InputError('\n'.join(self._lines))


def _describe_errors(
    model: type[BaseModel],
    error: ValidationError,
) -> Iterator[tuple[str, str]]:
    """Yield the key and the message of each validation error."""
    for entry in error.errors(include_url=False):
        key = '.'.join(map(str, entry['loc'][:1]))
        if entry['type'] == 'extra_forbidden':
            yield key, f'unknown key; allowed: {", ".join(model.model_fields)}'
        elif entry['type'] == 'missing':
            yield key, f'key is missing; allowed: {_describe_key(model, key)}'
        else:
            yield key, _describe_value(entry, _describe_key(model, key))


def _describe_value(entry: Mapping[str, Any], allowed: str) -> str:
    """Describe an invalid value; secrets are left out of the message."""
    if _SECRET_TYPE in allowed:
        return f'value is not valid; allowed: {allowed}'
    shown = repr(entry['input'])[:_MAX_SHOWN_CHARACTERS]
    return f'{shown}: {entry["msg"]}; allowed: {allowed}'


def _describe_key(model: type[BaseModel], key: str) -> str:
    """Describe the values that a key allows, from the model's JSON schema."""
    schema = model.model_json_schema()
    property_schema = schema['properties'][key]
    options = property_schema.get('anyOf', (property_schema,))
    return ' or '.join(
        _describe_option(schema, option)
        for option in options
        if option.get('type') != 'null'
    )


def _describe_option(
    schema: Mapping[str, Any],
    option: Mapping[str, Any],
) -> str:
    """Describe one alternative of a key's JSON schema."""
    reference = option.get('$ref')
    if reference:
        option = schema['$defs'][reference.rpartition('/')[-1]]
    if option.get('enum'):
        return ', '.join(map(str, option['enum']))
    json_type = option.get('type', 'any value')
    type_name = option.get('format', json_type)
    parts = [_TYPE_DESCRIPTIONS.get(type_name, type_name)]
    parts.extend(
        f'{description} {option[constraint]}'
        for constraint, description in _CONSTRAINT_DESCRIPTIONS.items()
        if constraint in option
    )
    return ' '.join(parts)
