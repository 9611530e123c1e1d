"""Random numbers: a stream for each actor, so that another actor more does not reshuffle the others.

Streams come from one seed by numpy's SeedSequence: the actor's kind and number are its spawn key. Numbers
are drawn in blocks, since a draw for itself costs a microsecond or two.
"""

import math
import zlib
from typing import Final

import numpy as np

BLOCK: Final = 32


class Stream:
    """The random numbers of one actor. Uniform, normal and exponential draws don't move each other."""

    __slots__ = ("_exponentials", "_key", "_normals", "_rngs", "_seed", "_uniforms")

    def __init__(self, seed: int, kind: str, number: int = 0) -> None:
        self._seed, self._key = seed, (zlib.crc32(kind.encode()), number)
        self._rngs: dict[int, np.random.Generator] = {}
        self._uniforms: list[float] = []
        self._normals: list[float] = []
        self._exponentials: list[float] = []

    def _rng(self, what: int) -> np.random.Generator:
        rng = self._rngs.get(what)
        if rng is None:
            sequence = np.random.SeedSequence(self._seed, spawn_key=(*self._key, what))
            rng = self._rngs[what] = np.random.Generator(np.random.PCG64(sequence))
        return rng

    def uniform(self, low: float = 0.0, high: float = 1.0) -> float:
        """From low up to high."""
        if not self._uniforms:
            self._uniforms = self._rng(0).random(BLOCK).tolist()
        return low + (high - low) * self._uniforms.pop()

    def normal(self) -> float:
        if not self._normals:
            self._normals = self._rng(1).standard_normal(BLOCK).tolist()
        return self._normals.pop()

    def exponential(self, mean: float = 1.0) -> float:
        if not self._exponentials:
            self._exponentials = self._rng(2).standard_exponential(BLOCK).tolist()
        return mean * self._exponentials.pop()

    def lognormal(self, mean: float, cv: float) -> float:
        """With that mean and coefficient of variation."""
        var = math.log1p(cv * cv)
        return mean * math.exp(math.sqrt(var) * self.normal() - var / 2)

    def pareto(self, mean: float, cv: float) -> float:
        """With that mean; the tail's index follows from the coefficient of variation."""
        index = 1 + math.sqrt(1 + 1 / max(cv, 0.05) ** 2)
        low: float = mean * (index - 1) / index
        return low * float((1.0 - self.uniform()) ** (-1 / index))

    def below(self, n: int) -> int:
        """A whole number from 0 up to n."""
        return min(n - 1, int(self.uniform() * n))

    def seed64(self) -> int:
        return int(self._rng(3).integers(0, 2**63))

    def weights(self, n: int, skew: float) -> "np.ndarray[tuple[int], np.dtype[np.float64]]":
        """n lognormal weights with that spread of their logarithms."""
        return np.exp(skew * self._rng(4).standard_normal(n))

    def sample(self, n: int, k: int) -> list[int]:
        """k different numbers below n, in rising order."""
        return sorted(int(x) for x in self._rng(5).permutation(n)[: max(0, min(n, k))])
