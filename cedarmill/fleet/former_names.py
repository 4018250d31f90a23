"""Modules under their former names, for users that are not changed yet: plain imports, and patches passed on.

The laboratory's mutants replace functions through these modules. A name listed in `homes` is set where the
function lives now, so that its callers see it.
"""

import importlib
import sys
import types
from collections.abc import Mapping
from typing import Any


class _FormerModule(types.ModuleType):
    """A module whose assignments reach the module that owns the name now."""

    _homes: Mapping[str, str]  # `package.module:name` by former name

    def __setattr__(self, name: str, value: object) -> None:
        super().__setattr__(name, value)
        home = self._homes.get(name)
        if home is not None:
            module, _, new_name = home.partition(":")
            setattr(importlib.import_module(module), new_name, value)


def forward_assignments(module_name: str, homes: Mapping[str, str]) -> None:
    """Let assignments to the module reach the new homes of the names listed."""
    module = sys.modules[module_name]
    vars(module)["_homes"] = homes
    module.__class__ = _FormerModule


def former_field(new_name: str) -> Any:
    """A property that reads and writes the field which has that name now."""
    return property(lambda self: getattr(self, new_name), lambda self, value: setattr(self, new_name, value))
