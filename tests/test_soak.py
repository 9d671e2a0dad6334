"""A short run of the soak, with fixed seeds. A long one is started by hand: see `soak.py`."""

import pytest
from soak import play_seed


@pytest.mark.parametrize("seed", [3, 101, 112, 124, 126, 137])
def test_a_seeded_play_with_crowds_and_signals_keeps_memory_and_answers(seed):
    assert play_seed(seed).faults == []
