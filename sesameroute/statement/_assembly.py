"""Conversion of INI sections to a statement and back."""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import asdict
from types import MappingProxyType
from typing import Any

from sesameroute.ini import ProblemList
from sesameroute.statement._consistency import find_inconsistencies
from sesameroute.statement._model import (
    Drain,
    Kind,
    Link,
    Places,
    Policy,
    Service,
    Shift,
    Statement,
    Upstream,
    Vm,
)
from sesameroute.statement._schema import SECTION_MODELS, StatementSection

__all__ = ['assemble_statement', 'list_sections']

# Sections that must occur exactly once.
_REQUIRED_SECTIONS = ('institution', 'places', 'policy')
# Data classes of the sections that a statement holds by name; the statement's
# attribute is the section type with an s at its end.
_NAMED_TYPES = MappingProxyType(
    {
        'vm': Vm,
        'service': Service,
        'kind': Kind,
        'upstream': Upstream,
        'drain': Drain,
        'shift': Shift,
    }
)

_Fields = dict[str, Any]
_FieldsByType = dict[str, list[_Fields]]
_SectionFields = Iterator[tuple[str, _Fields]]


def assemble_statement(
    sections: Mapping[str, Mapping[str, Any]],
    source: str,
) -> Statement:
    """Validate sections and return the statement that they describe.

    Parameters
    ----------
    sections : mapping of str to mapping of str to any
        Keys and values by section title.
    source : str
        Name of the file, used in error messages.

    Raises
    ------
    InputError
        The sections are invalid. The message lists all invalid sections and
        keys or, if there are none, all invalid references.

    """
    problems = ProblemList(source)
    fields_by_type: _FieldsByType = {
        section_type: [] for section_type in SECTION_MODELS
    }
    for section_type, fields in _validate_sections(sections, problems):
        fields_by_type[section_type].append(fields)
    _check_occurrences(sections, problems)
    problems.raise_if_any()
    statement = _build_statement(fields_by_type)
    for finding in find_inconsistencies(statement):
        problems.add(finding.section, finding.message)
    problems.raise_if_any()
    return statement


def _validate_sections(
    sections: Mapping[str, Mapping[str, Any]],
    problems: ProblemList,
) -> _SectionFields:
    """Yield the type and the validated fields of each valid section."""
    for title, fields in sections.items():
        section_type = title.strip().partition(' ')[0]
        model = SECTION_MODELS.get(section_type)
        if model is None:
            allowed = ', '.join(SECTION_MODELS)
            problems.add(title, f'unknown section; allowed: {allowed}')
            continue
        all_fields = _add_title_fields(model, title, fields)
        if all_fields is None:
            expected_title = ' '.join(
                (section_type, *map(str.upper, model.title_fields))
            )
            problems.add(
                title,
                f'title must be [{expected_title}], names not repeated as keys',
            )
            continue
        section = problems.validate(model, title, all_fields)
        if section:
            yield section_type, section.model_dump(exclude_none=True)


def _add_title_fields(
    model: type[StatementSection],
    title: str,
    fields: Mapping[str, Any],
) -> _Fields | None:
    """Return the fields together with those given in the section's title.

    None if the title has the wrong number of names or if a field of the
    title is also given as a key.
    """
    names = title.split()[1:]
    if len(names) != len(model.title_fields):
        return None
    if any(key in fields for key in model.title_fields):
        return None
    return {**dict(zip(model.title_fields, names, strict=True)), **fields}


def _check_occurrences(sections: Iterable[str], problems: ProblemList) -> None:
    """Add problems for duplicate sections and missing required ones."""
    counts = Counter(' '.join(title.split()) for title in sections)
    for title, count in counts.items():
        if count > 1:
            problems.add(title, 'section occurs more than once')
    for required in _REQUIRED_SECTIONS:
        if required not in counts:
            problems.add(required, 'section is missing')


def _build_statement(fields_by_type: _FieldsByType) -> Statement:
    """Return the statement of validated fields by section type."""
    institution = fields_by_type['institution'][0]
    regions = {
        region['name']: region['domains'] for region in fields_by_type['region']
    }
    named = {
        f'{section_type}s': {
            fields['name']: named_type(**fields)
            for fields in fields_by_type[section_type]
        }
        for section_type, named_type in _NAMED_TYPES.items()
    }
    return Statement(
        institution=institution.pop('name'),
        places=Places(regions=regions, **fields_by_type['places'][0]),
        policy=Policy(**fields_by_type['policy'][0]),
        links=tuple(Link(**fields) for fields in fields_by_type['link']),
        **named,
        **institution,
    )


def list_sections(statement: Statement) -> dict[str, _Fields]:
    """Return the keys and values of a statement's sections, by title.

    `assemble_statement` turns them into an equal statement.
    """
    sections = {
        'institution': {
            'name': statement.institution,
            'entry_port': statement.entry_port,
            'lookup_port': statement.lookup_port,
            'peer_port': statement.peer_port,
        },
        'places': asdict(statement.places),
        'policy': asdict(statement.policy),
    }
    regions = sections['places'].pop('regions')
    for region, domains in regions.items():
        sections[f'region {region}'] = {'domains': domains}
    sections.update(_list_named(statement))
    return sections


def _list_named(
    statement: Statement,
) -> _SectionFields:
    """Yield title and fields of the sections that have names in the title."""
    for section_type in _NAMED_TYPES:
        for name, record in getattr(statement, f'{section_type}s').items():
            fields = asdict(record)
            fields.pop('name')
            yield f'{section_type} {name}', fields
    for link in statement.links:
        yield (
            f'link {link.source} {link.target}',
            {'megabits': link.megabits, 'cap': link.cap},
        )
