"""Short fuzzing runs with fixed seeds."""

from pathlib import Path

import pytest

from bench.cluster import running_cluster
from bench.fuzz import FuzzConfig, describe_with_faults, run_fuzz
from bench.history import FaultSpan, Outcome

SECONDS = 12.0


class TestFuzz:
    """Real processes under random faults, up to two at a time."""

    @pytest.mark.parametrize(
        "seed",
        [
            pytest.param(seed, marks=pytest.mark.xdist_group(f"fuzz-{seed}"))
            for seed in (1, 7)
        ],
    )
    def test_no_promise_is_broken(self, seed: int, tmp_path: Path) -> None:
        """Guards against violations under faults, and against VMs that do not recover.

        Afterwards every entry VM must serve again and have the same catalogue.
        """
        config = FuzzConfig(seconds=SECONDS, seed=seed)
        with running_cluster(config.cluster, tmp_path) as cluster:
            verdict, history = run_fuzz(config, cluster)
        found = [describe_with_faults(each, history) for each in verdict.violations]
        assert not found, "\n".join(found)
        assert verdict.outcomes[Outcome.ANSWERED] > 50
        assert len(list(history.of(FaultSpan))) >= 4
