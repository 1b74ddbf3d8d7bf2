"""Validated sections to a statement and back."""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import asdict
from types import MappingProxyType
from typing import Any

from sesameroute.ini import ProblemList
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
from sesameroute.statement._reference import find_wrong_references
from sesameroute.statement._schema import SECTIONS, StatementSection

__all__ = ['assemble_statement', 'list_sections']

# Sections that stand exactly once.
_SINGLE = ('institution', 'places', 'policy')
_NAMED = MappingProxyType(
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
_Parsed = dict[str, list[_Fields]]
_Titled = Iterator[tuple[str, _Fields]]


def assemble_statement(
    sections: Mapping[str, Mapping[str, Any]],
    source: str,
) -> Statement:
    """Return the statement of the sections.

    Raises
    ------
    InputError
        Names every wrong section, key and reference.

    """
    problems = ProblemList(source)
    parsed: _Parsed = {word: [] for word in SECTIONS}
    for word, fields in _validate_sections(sections, problems):
        parsed[word].append(fields)
    _require_single(sections, problems)
    problems.raise_if_any()
    statement = _compose(parsed)
    for finding in find_wrong_references(statement):
        problems.add(finding.section, finding.message)
    problems.raise_if_any()
    return statement


def _validate_sections(
    sections: Mapping[str, Mapping[str, Any]],
    problems: ProblemList,
) -> _Titled:
    for title, fields in sections.items():
        word = title.strip().partition(' ')[0]
        model = SECTIONS.get(word)
        if model is None:
            allowed = ', '.join(SECTIONS)
            problems.add(title, f'unknown section; allowed: {allowed}')
            continue
        named = _name_fields(model, title, fields)
        if named is None:
            form = ' '.join((word, *map(str.upper, model.title_fields)))
            problems.add(title, f'title must be [{form}], keys apart')
            continue
        section = problems.validate(model, title, named)
        if section:
            yield word, section.model_dump(exclude_none=True)


def _name_fields(
    model: type[StatementSection],
    title: str,
    fields: Mapping[str, Any],
) -> _Fields | None:
    """Return the fields with those of the title, None if they clash."""
    names = title.split()[1:]
    if len(names) != len(model.title_fields):
        return None
    if any(key in fields for key in model.title_fields):
        return None
    return {**dict(zip(model.title_fields, names, strict=True)), **fields}


def _require_single(sections: Iterable[str], problems: ProblemList) -> None:
    counts = Counter(' '.join(title.split()) for title in sections)
    for title, count in counts.items():
        if count > 1:
            problems.add(title, 'section stands twice')
    for single in _SINGLE:
        if single not in counts:
            problems.add(single, 'section is missing')


def _compose(parsed: _Parsed) -> Statement:
    institution = parsed['institution'][0]
    regions = {region['name']: region['domains'] for region in parsed['region']}
    named = {
        f'{word}s': {
            fields['name']: named_type(**fields) for fields in parsed[word]
        }
        for word, named_type in _NAMED.items()
    }
    return Statement(
        institution=institution.pop('name'),
        places=Places(regions=regions, **parsed['places'][0]),
        policy=Policy(**parsed['policy'][0]),
        links=tuple(Link(**fields) for fields in parsed['link']),
        **named,
        **institution,
    )


def list_sections(statement: Statement) -> dict[str, _Fields]:
    """Return the sections that assemble to an equal statement."""
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
) -> _Titled:
    for word in _NAMED:
        for name, item in getattr(statement, f'{word}s').items():
            fields = asdict(item)
            fields.pop('name')
            yield f'{word} {name}', fields
    for link in statement.links:
        yield (
            f'link {link.source} {link.target}',
            {'megabits': link.megabits, 'cap': link.cap},
        )
