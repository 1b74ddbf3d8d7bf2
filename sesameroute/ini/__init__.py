"""INI parsing and formatting, with validation that reports all errors."""

from sesameroute.ini._problems import ProblemList
from sesameroute.ini._section import Section, format_sections, parse_sections

__all__ = ['ProblemList', 'Section', 'format_sections', 'parse_sections']
