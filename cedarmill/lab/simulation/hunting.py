"""Hunting mutants: play trials with a fault planted in the code until an invariant sees it."""

import time
from collections.abc import Callable, Iterable
from typing import NamedTuple

from cedarmill.lab.cluster.mutants import Patch, planted_patches

NEVER = -1  # as a seed: no trial saw the mutant


class Trial(NamedTuple):
    """One run in which a mutant may show: the incident's name (empty: none) and the seed."""

    incident: str
    seed: int


class Detection(NamedTuple):
    """Which invariant saw a mutant first, in which trial, and after how long (s); seed `NEVER`: none."""

    mutant: str
    invariant: str
    incident: str
    seed: int
    seconds: float


def hunt_mutant(
    mutant: str,
    patches: list[Patch],
    trials: Iterable[Trial],
    violations_of: Callable[[Trial], list[str]],
) -> Detection:
    """Play the trials with the mutant planted, up to the first that violates an invariant."""
    began = time.monotonic()
    with planted_patches(patches):
        for trial in trials:
            if violations := violations_of(trial):
                seconds = round(time.monotonic() - began, 2)
                return Detection(mutant, violations[0], trial.incident, trial.seed, seconds)
    return Detection(mutant, "", "", NEVER, round(time.monotonic() - began, 2))
