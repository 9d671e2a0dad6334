"""Random numbers by name: each component has a stream of its own, derived from the one seed of the run.

The numbers of a stream depend only on the seed and the stream's name, so that adding or removing a component does not
change the numbers of any other.
"""

from __future__ import annotations

import numpy as np
import xxhash

BLOCK_SIZE = 1024  # numbers drawn at once; single draws would each pay for a call into numpy


class Stream:
    """The random numbers of one component. Each distribution has its own generator and its own block of drawn numbers,
    so that the number of draws from one does not affect another."""

    __slots__ = ("seed", "name", "blocks", "generators")

    def __init__(self, seed: int, name: str) -> None:
        self.seed = seed
        self.name = name
        self.blocks: dict[str, list[float]] = {}
        self.generators: dict[str, np.random.Generator] = {}

    def generator(self, kind: str) -> np.random.Generator:
        """The generator for a distribution, created at first use."""
        found = self.generators.get(kind)
        if found is None:
            key = xxhash.xxh64_intdigest(f"{self.name}/{kind}".encode())
            sequence = np.random.SeedSequence(self.seed, spawn_key=(key >> 32, key & 0xFFFFFFFF))
            found = self.generators[kind] = np.random.Generator(np.random.PCG64(sequence))
        return found

    def _next(self, kind: str) -> float:
        block = self.blocks.get(kind)
        if not block:
            generator = self.generator(kind)
            drawn = generator.random(BLOCK_SIZE) if kind == "uniform" else generator.standard_exponential(BLOCK_SIZE)
            if kind == "normal":
                drawn = generator.standard_normal(BLOCK_SIZE)
            block = self.blocks[kind] = drawn.tolist()
            block.reverse()
        return block.pop()

    def uniform(self) -> float:
        """From 0 up to, but not including, 1."""
        return self._next("uniform")

    def exponential(self, mean: float) -> float:
        """Exponentially distributed."""
        return self._next("exponential") * mean

    def lognormal(self, mean: float, cv: float) -> float:
        """Lognormally distributed, with this mean and coefficient of variation; the mean itself if cv is 0."""
        if cv <= 0:
            return mean
        variance = float(np.log1p(cv * cv))
        return mean * float(np.exp(self._next("normal") * variance**0.5 - variance / 2))

    def below(self, number: int) -> int:
        """A whole number from 0 up to, but not including, `number`."""
        return int(self._next("uniform") * number)


class Streams:
    """The streams of one run, by name."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.named: dict[str, Stream] = {}

    def __getitem__(self, name: str) -> Stream:
        stream = self.named.get(name)
        if stream is None:
            stream = self.named[name] = Stream(self.seed, name)
        return stream
