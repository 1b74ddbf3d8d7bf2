"""INI text to validated sections, with all errors at once."""

from sesameroute.ini._problems import ProblemList
from sesameroute.ini._section import Section, parse_sections, print_sections

__all__ = ['ProblemList', 'Section', 'parse_sections', 'print_sections']
