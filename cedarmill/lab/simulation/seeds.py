"""Random generators and hashes that hang on nothing but a run's seed: one seed, one timeline."""

import hashlib
import random

import numpy

DIGEST_BYTES = 16  # of a timeline's hash
NUMBER_BYTES = 6  # of a stable number
KEY_BYTES = 12  # of a state in a search


def text_generator(*names: object) -> random.Random:
    """A generator of its own for the part of a run that these names say, the run's seed first."""
    return random.Random("/".join(str(name) for name in names))


def numpy_generator(seed: int, stream: int) -> numpy.random.Generator:
    """A generator for one simulation: `stream` keeps equal seeds of different simulations apart."""
    return numpy.random.Generator(numpy.random.PCG64(numpy.random.SeedSequence([seed, stream])))


def stable_number(*parts: object) -> int:
    """A number of the parts that does not hang on Python's hashing."""
    digest = hashlib.blake2b(repr(parts).encode(), digest_size=NUMBER_BYTES).digest()
    return int.from_bytes(digest, "big")


def timeline_hash(*texts: bytes) -> str:
    """One hash over the texts of a timeline."""
    whole = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for text in texts:
        whole.update(text)
    return whole.hexdigest()


def short_hash(text: bytes) -> bytes:
    """A short key of a long state."""
    return hashlib.blake2b(text, digest_size=KEY_BYTES).digest()
