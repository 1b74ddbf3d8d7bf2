"""Problems of one source, gathered so that all are reported at once."""

from collections.abc import Iterator, Mapping
from types import MappingProxyType
from typing import Any, TypeVar

from pydantic import BaseModel, ValidationError

from sesameroute.exceptions import InputError

__all__ = ['ProblemList']

ModelType = TypeVar('ModelType', bound=BaseModel)

_SHOWN_CHARACTERS = 60  # of a wrong value

_SECRET_WORD = 'secret'

# What the types and formats of a JSON schema are called.
_FORM_WORDS = MappingProxyType(
    {
        'ipvanyaddress': 'IP address',
        'password': _SECRET_WORD,
        'boolean': 'yes or no',
        'array': 'comma-separated list',
    }
)

# What the limits of a JSON schema say in words.
_LIMIT_WORDS = MappingProxyType(
    {
        'minimum': 'from',
        'exclusiveMinimum': 'above',
        'maximum': 'up to',
        'exclusiveMaximum': 'below',
        'minLength': 'with length from',
        'maxLength': 'with length up to',
        'minItems': 'with items from',
        'pattern': 'like',
    }
)


class ProblemList:
    """Gathers what is wrong with one file.

    Parameters
    ----------
    source : str
        Name of the file.

    Examples
    --------
    >>> problems = ProblemList('some.ini')
    >>> problems.add('log', 'key is missing', 'level')
    >>> problems.raise_any()
    Traceback (most recent call last):
    sesameroute.exceptions.InputError: some.ini: [log] level: key is missing

    """

    def __init__(self, source: str) -> None:
        """Store the name of the file."""
        self.source = source
        self._lines: list[str] = []

    def add(self, title: str, message: str, key: str = '') -> None:
        """Add a problem of a section or of one of its keys."""
        place = f'[{title}] {key}'.rstrip()
        self._lines.append(f'{self.source}: {place}: {message}')

    def validate(
        self,
        model: type[ModelType],
        title: str,
        fields: Mapping[str, Any],
    ) -> ModelType | None:
        """Return the validated section, or add its problems."""
        try:
            return model.model_validate(dict(fields))
        except ValidationError as error:
            for key, message in _describe_errors(model, error):
                self.add(title, message, key)
        return None

    def raise_any(self) -> None:
        """Raise InputError with all problems if there are any."""
        if self._lines:
            raise InputError('\n'.join(self._lines))


def _describe_errors(
    model: type[BaseModel],
    error: ValidationError,
) -> Iterator[tuple[str, str]]:
    for entry in error.errors(include_url=False):
        key = '.'.join(map(str, entry['loc'][:1]))
        if entry['type'] == 'extra_forbidden':
            yield key, f'unknown key; allowed: {", ".join(model.model_fields)}'
        elif entry['type'] == 'missing':
            yield key, f'key is missing; allowed: {_describe_key(model, key)}'
        else:
            yield key, _describe_value(entry, _describe_key(model, key))


def _describe_value(entry: Mapping[str, Any], allowed: str) -> str:
    """Return what is wrong with a value; a secret is not shown."""
    if _SECRET_WORD in allowed:
        return f'value is not valid; allowed: {allowed}'
    shown = repr(entry['input'])[:_SHOWN_CHARACTERS]
    return f'{shown}: {entry["msg"]}; allowed: {allowed}'


def _describe_key(model: type[BaseModel], key: str) -> str:
    """Return what a key allows, from the model's JSON schema."""
    schema = model.model_json_schema()
    described = schema['properties'][key]
    options = described.get('anyOf', (described,))
    return ' or '.join(
        _describe_option(schema, option)
        for option in options
        if option.get('type') != 'null'
    )


def _describe_option(
    schema: Mapping[str, Any],
    option: Mapping[str, Any],
) -> str:
    reference = option.get('$ref')
    if reference:
        option = schema['$defs'][reference.rpartition('/')[-1]]
    if option.get('enum'):
        return ', '.join(map(str, option['enum']))
    kind = option.get('type', 'any value')
    form = option.get('format', kind)
    words = [_FORM_WORDS.get(form, form)]
    words.extend(
        f'{word} {option[limit]}'
        for limit, word in _LIMIT_WORDS.items()
        if limit in option
    )
    return ' '.join(words)
