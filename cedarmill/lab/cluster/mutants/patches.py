"""Replace parts of the program while a mutant is applied, and put them back."""

import contextlib
from collections.abc import Iterator, Sequence
from typing import Any

Patch = tuple[object, Any, Any]  # an object or a dict, the attribute or key, what stands there instead


@contextlib.contextmanager
def applied_patches(patches: Sequence[Patch]) -> Iterator[None]:
    """While it lasts the replacements stand; raises AttributeError or KeyError for an unknown name."""
    originals: list[Patch] = []
    try:
        for owner, name, replacement in patches:
            originals.append((owner, name, _replace(owner, name, replacement)))
        yield
    finally:
        for owner, name, original in reversed(originals):
            _replace(owner, name, original)


def _replace(owner: object, name: Any, value: Any) -> Any:
    """Set an attribute or a key; what stood there."""
    if isinstance(owner, dict):
        original, owner[name] = owner[name], value
    else:
        original = getattr(owner, name)
        setattr(owner, name, value)
    return original
