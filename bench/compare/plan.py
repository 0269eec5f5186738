"""The plan of a comparison, read from an INI file."""

from __future__ import annotations

import configparser
import hashlib
import pathlib
from typing import TYPE_CHECKING

import pydantic

from bench.compare import measurements

if TYPE_CHECKING:
    from collections.abc import Iterator

VARIANT_PREFIX = "variant "
DEPLOYMENT_PREFIX = "deployment "


class PlanInvalid(Exception):
    """The plan is invalid; the message names the section and the key."""


class _Section(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class PlaysSection(_Section):
    """``[plays]``: how days are run.

    Attributes:
        program: The program that runs a day.
        worktrees: Folder for one worktree per job.
        results: File to which finished plays are appended.
        why: Purpose of the comparison, which each journal entry states.
        jobs: Maximum number of concurrent plays.
        memory_gb: Maximum memory of all concurrent plays together.
        charge_processor: Whether processor time is charged to the result.
    """

    program: pathlib.Path
    worktrees: pathlib.Path
    results: pathlib.Path
    why: str = pydantic.Field(min_length=1)
    jobs: int = pydantic.Field(ge=1, le=64)
    memory_gb: float = pydantic.Field(gt=0)
    charge_processor: bool = True


class VariantSection(_Section):
    """``[variant NAME]``: a revision, with an optional patch on top."""

    revision: str = "HEAD"
    patch: pathlib.Path | None = None


class DeploymentSection(_Section):
    """``[deployment NAME]``: days and seeds of a site.

    Attributes:
        memory_gb: Memory of one play.
    """

    site: pathlib.Path
    days: tuple[str, ...] = pydantic.Field(min_length=1)
    seeds: tuple[int, ...] = pydantic.Field(min_length=1)
    small_twins: bool = False
    memory_gb: float = pydantic.Field(gt=0)

    @pydantic.field_validator("days", "seeds", mode="before")
    @classmethod
    def _split_words(cls, value: object) -> object:
        return value.split() if isinstance(value, str) else value


class Plan(_Section):
    """All sections; the first variant is the baseline of the others."""

    plays: PlaysSection
    variants: dict[str, VariantSection] = pydantic.Field(min_length=1)
    deployments: dict[str, DeploymentSection] = pydantic.Field(min_length=1)

    @property
    def baseline(self) -> str:
        """Name of the first variant."""
        return next(iter(self.variants))

    def all_plays(
        self, revisions: dict[str, str]
    ) -> Iterator[measurements.Play]:
        """Yields all plays, those of a pair next to each other.

        Args:
            revisions: Commit of each variant.
        """
        for name, deployment in self.deployments.items():
            for seed in deployment.seeds:
                for day in deployment.days:
                    for variant, section in self.variants.items():
                        yield measurements.Play(
                            deployment=name,
                            site=str(deployment.site.resolve()),
                            day=day,
                            seed=seed,
                            is_small_twin=deployment.small_twins,
                            variant=variant,
                            source=_source(revisions[variant], section.patch),
                        )


def load(path: pathlib.Path) -> Plan:
    """Reads a plan.

    Raises:
        PlanInvalid: The file can't be read, or a section or key is invalid.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with path.open(encoding="utf-8") as file:
            parser.read_file(file)
        return Plan.model_validate(_nested(parser))
    except (OSError, configparser.Error, pydantic.ValidationError) as error:
        raise PlanInvalid(f"{path}: {error}") from error


def _nested(parser: configparser.ConfigParser) -> dict[str, object]:
    nested: dict[str, object] = {}
    variants: dict[str, object] = {}
    deployments: dict[str, object] = {}
    for title in parser.sections():
        values = dict(parser[title])
        if title.startswith(VARIANT_PREFIX):
            variants[title.removeprefix(VARIANT_PREFIX)] = values
        elif title.startswith(DEPLOYMENT_PREFIX):
            deployments[title.removeprefix(DEPLOYMENT_PREFIX)] = values
        else:
            nested[title] = values
    return {**nested, "variants": variants, "deployments": deployments}


def _source(revision: str, patch: pathlib.Path | None) -> str:
    if patch is None:
        return revision
    digest = hashlib.sha256(patch.read_bytes()).hexdigest()
    return f"{revision}+{digest[:16]}"
