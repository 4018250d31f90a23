"""Partitions among the replicas: which links each kind of partition cuts."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

Cut = tuple[str, str]  # from whom, to whom: one direction


@dataclass(frozen=True, slots=True)
class Replicas:
    """The names of all replicas, sorted, and of the one that leads."""

    names: Sequence[str]
    leader: str

    @property
    def followers(self) -> list[str]:
        """All but the leader."""
        return [name for name in self.names if name != self.leader]

    @property
    def largest_minority(self) -> int:
        """The number of replicas that is just not a majority."""
        return (len(self.names) - 1) // 2


def _both_ways(cuts: Sequence[Cut]) -> list[Cut]:
    return [*cuts, *((target, source) for source, target in cuts)]


def _split(replicas: Replicas, side: Sequence[str]) -> list[Cut]:
    return _both_ways([(one, other) for one in side for other in replicas.names if other not in side])


def minority(replicas: Replicas) -> list[Cut]:
    """Fewer than half on one side, the leader not among them."""
    return _split(replicas, replicas.followers[: replicas.largest_minority])


def majority(replicas: Replicas) -> list[Cut]:
    """The leader on one side with too few."""
    side = replicas.followers[: replicas.largest_minority]
    return _split(replicas, [replicas.leader, *side[1:]])


def one_way(replicas: Replicas) -> list[Cut]:
    """The leader hears nobody, and all hear it."""
    return [(other, replicas.leader) for other in replicas.followers]


def bridge(replicas: Replicas) -> list[Cut]:
    """Two sides that reach each other through one replica only."""
    left, *right = replicas.followers
    return _both_ways([(left, other) for other in right or [replicas.leader]])


def ring(replicas: Replicas) -> list[Cut]:
    """Each hears its neighbours only."""
    names, count = replicas.names, len(replicas.names)
    return [
        (names[one], names[other])
        for one in range(count)
        for other in range(count)
        if one != other and (one - other) % count not in (1, count - 1)
    ]


PARTITIONS: dict[str, Callable[[Replicas], list[Cut]]] = {
    "minority": minority,
    "majority": majority,
    "one-way": one_way,
    "bridge": bridge,
    "ring": ring,
}
