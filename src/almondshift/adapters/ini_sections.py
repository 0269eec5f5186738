"""Reads INI text into sections, and sections into validated models.

The functions raise ``errors.ConfigInvalid``; the public parsers that use
them return it in a Result.
"""

from __future__ import annotations

import configparser
import dataclasses
import difflib
import re
from typing import Annotated
from typing import Any
from typing import TypeVar

import pydantic

from almondshift import errors

MAX_TEXT_BYTES = 1_000_000
"""Enough for about 5,000 accounts; fits into a row of the table service."""

TEXT = "text"
"""Reported as the section name of an error outside any section."""

BYTE_ORDER_MARK = "\ufeff"
WHOLE_LINE_HEADER = re.compile(r"\[(?P<header>.+)\]$")
MAX_SHOWN_CHARACTERS = 60
SUGGESTION_CUTOFF = 0.5
MAX_NAME_LENGTH = 63
NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$"

# configparser copies the keys of the default section into all others. No text
# can contain a section of this name, because a section name is a single line.
_NO_DEFAULT_SECTION = "\n"


def _yes_or_no(value: object) -> object:
    if isinstance(value, bool):
        return value
    if value in ("yes", "no"):
        return value == "yes"
    raise ValueError("is neither 'yes' nor 'no'")


def _comma_list(value: object) -> object:
    if not isinstance(value, str):
        return value
    items: dict[str, None] = {}
    for part in value.split(","):
        item = part.strip()
        if item in items:
            raise ValueError(f"names {shorten(item)} twice")
        if item:
            items[item] = None
    return tuple(items)


YesNo = Annotated[bool, pydantic.BeforeValidator(_yes_or_no)]
Name = Annotated[str, pydantic.StringConstraints(pattern=NAME_PATTERN)]
Names = Annotated[tuple[Name, ...], pydantic.BeforeValidator(_comma_list)]
Strings = Annotated[tuple[str, ...], pydantic.BeforeValidator(_comma_list)]
PositiveInt = Annotated[int, pydantic.Field(ge=1, le=10**15)]
NonNegative = Annotated[
    float, pydantic.Field(ge=0, le=1e15, allow_inf_nan=False)
]
Positive = Annotated[float, pydantic.Field(gt=0, le=1e15, allow_inf_nan=False)]


class SectionModel(pydantic.BaseModel):
    """Base class of section models; rejects unknown keys."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


ModelT = TypeVar("ModelT", bound=SectionModel)


@dataclasses.dataclass(frozen=True, slots=True)
class Section:
    """One section as written: ``[kind argument ...]`` and its keys."""

    kind: str
    arguments: tuple[str, ...]
    values: dict[str, str]

    @property
    def title(self) -> str:
        """The text between the brackets, with single spaces."""
        return " ".join((self.kind, *self.arguments))


def suggest(word: str, known: list[str]) -> str:
    """Returns a suggestion ``Did you mean ...``, or the known words."""
    close = difflib.get_close_matches(
        word[:64], known, n=1, cutoff=SUGGESTION_CUTOFF
    )
    if close:
        return f"Did you mean '{close[0]}'?"
    if not known:
        return "None is defined."
    return f"Known: {', '.join(sorted(known)[:20])}."


def is_name(word: str) -> bool:
    """Returns whether a word is a valid model, service or account name."""
    return len(word) <= MAX_NAME_LENGTH and bool(re.match(NAME_PATTERN, word))


def shorten(value: object) -> str:
    """Returns a printable form of a value, truncated at 60 characters."""
    text = str(value)
    cut = text[:MAX_SHOWN_CHARACTERS]
    return repr(cut) + ("..." if len(text) > MAX_SHOWN_CHARACTERS else "")


def read(text: str) -> list[Section]:
    """Splits a text into its sections, in order.

    Raises:
        errors.ConfigInvalid: The text is too long, is not INI, or contains a
            duplicate section or key.
    """
    _check_text(text)
    parser = configparser.RawConfigParser(
        delimiters=("=",),
        comment_prefixes=("#", ";"),
        strict=True,
        empty_lines_in_values=False,
        default_section=_NO_DEFAULT_SECTION,
        interpolation=None,
    )
    # By default configparser ignores text after the closing bracket.
    parser.SECTCRE = WHOLE_LINE_HEADER
    parser.optionxform = str  # type: ignore[assignment, method-assign]
    try:
        parser.read_string(text.removeprefix(BYTE_ORDER_MARK))
    except configparser.Error as error:
        raise _syntax_error(error) from error
    sections = [_section(title, parser) for title in parser.sections()]
    _check_duplicates(sections)
    return sections


def build(section: Section, model: type[ModelT]) -> ModelT:
    """Validates a section's keys.

    Raises:
        errors.ConfigInvalid: For the first invalid key.
    """
    try:
        return model.model_validate(section.values)
    except pydantic.ValidationError as error:
        raise _invalid(section.title, model, error) from error


def _check_text(text: str) -> None:
    try:
        size = len(text.encode())
    except UnicodeEncodeError as error:
        raise errors.ConfigInvalid(
            "the text can't be encoded as UTF-8.",
            section=TEXT,
            key=None,
            remedy="Save the file as UTF-8.",
        ) from error
    if size > MAX_TEXT_BYTES:
        raise errors.ConfigInvalid(
            f"the text has {size} bytes, over the limit of {MAX_TEXT_BYTES}.",
            section=TEXT,
            key=None,
            remedy="Shorten it, or remove accounts no longer in use.",
        )


def _section(title: str, parser: configparser.RawConfigParser) -> Section:
    words = title.split()
    if not words:
        raise errors.ConfigInvalid(
            "a section has no name.",
            section=TEXT,
            key=None,
            remedy="Write a kind between the brackets, e.g. [fleet].",
        )
    return Section(words[0], tuple(words[1:]), dict(parser.items(title)))


def _check_duplicates(sections: list[Section]) -> None:
    seen: set[str] = set()
    for section in sections:
        if section.title in seen:
            raise _duplicate_error(section.title, None)
        seen.add(section.title)


def _duplicate_error(section: str, key: str | None) -> errors.ConfigInvalid:
    return errors.ConfigInvalid(
        "is defined twice.",
        section=section,
        key=key,
        remedy="Keep one of the two.",
    )


def _syntax_error(error: configparser.Error) -> errors.ConfigInvalid:
    if isinstance(error, configparser.DuplicateSectionError):
        return _duplicate_error(" ".join(error.section.split()), None)
    if isinstance(error, configparser.DuplicateOptionError):
        return _duplicate_error(" ".join(error.section.split()), error.option)
    if isinstance(error, configparser.MissingSectionHeaderError):
        detail = f"line {error.lineno} is before any section."
        remedy = "Start the text with a section line, e.g. [fleet]."
    elif isinstance(error, configparser.ParsingError) and error.errors:
        line, source = error.errors[0]
        detail = f"line {line} is not 'key = value': {shorten(source)}."
        remedy = "Write 'key = value', or start a comment line with '#'."
    else:
        detail = shorten(error) + "."
        remedy = "Write sections in brackets and lines 'key = value'."
    return errors.ConfigInvalid(detail, section=TEXT, key=None, remedy=remedy)


def _invalid(
    title: str, model: type[SectionModel], error: pydantic.ValidationError
) -> errors.ConfigInvalid:
    faults: list[Any] = error.errors(include_url=False, include_context=False)
    # A mistyped key is reported as unknown and, if required, also as missing;
    # the unknown key is the more useful error.
    unknown = (f for f in faults if f["type"] == "extra_forbidden")
    fault = next(unknown, faults[0])
    key = str(fault["loc"][0]) if fault["loc"] else None
    known = list(model.model_fields)
    if fault["type"] == "extra_forbidden":
        detail = "is not a key of this section."
        remedy = suggest(key or "", known)
    elif fault["type"] == "missing":
        detail = "is missing."
        remedy = f"Add a line '{key} = ...'."
    else:
        reason = fault["msg"].removeprefix("Value error, ")
        detail = f"{shorten(fault['input'])}: {reason}."
        remedy = _describe(model, key)
    return errors.ConfigInvalid(detail, section=title, key=key, remedy=remedy)


def _describe(model: type[SectionModel], key: str | None) -> str:
    field = model.model_fields.get(key or "")
    if field is None or not field.description:
        return "Correct the value; see the settings reference in the docs."
    return f"Expected: {field.description}."
