"""What a VM believes of its paths to endpoints."""

from bamboovale.decisions.endpoint_paths import EVIDENCE_S, EndpointPaths, PathUse


class TestOneEndpoint:
    """An endpoint whose connections fail while others are reached."""

    def test_one_failed_connection_is_no_lost_path(self) -> None:
        """Guards against taking a lost packet for a lost path."""
        paths = EndpointPaths(0.0)
        assert paths.on_failed("a", 1.0)
        assert paths.is_in_doubt("a")
        assert paths.choose("a", 1.0) is PathUse.OPEN_CONNECTION
        assert paths.take_trial("a", 1.0)
        paths.on_connected("a")
        assert paths.on_answer("a", 1.1)
        assert not paths.is_in_doubt("a")

    def test_two_in_a_row_put_it_out_of_reach_until_a_connection(self) -> None:
        paths = EndpointPaths(0.0)
        paths.on_failed("a", 1.0)
        paths.on_failed("a", 1.6)
        assert not paths.on_answer("a", 1.7)
        assert paths.is_out_of_reach("a", 1.7)
        assert not paths.is_cut(1.7)
        paths.on_connected("a")
        assert not paths.is_out_of_reach("a", 3.0)

    def test_one_request_at_a_time_tries_a_restored_path(self) -> None:
        """Guards against many requests lost on a path that fails again at once."""
        paths = EndpointPaths(0.0)
        paths.on_failed("a", 1.0)
        paths.on_failed("a", 1.6)
        paths.on_connected("a")
        assert paths.choose("a", 2.0) is PathUse.ANY
        assert paths.choose("a", 2.1) is PathUse.OTHER_VM
        paths.on_failed("a", 2.2)
        assert paths.is_out_of_reach("a", 2.2)
        paths.on_connected("a")
        assert paths.choose("a", 3.0) is PathUse.ANY
        assert paths.on_answer("a", 3.1)
        assert not paths.is_in_doubt("a")

    def test_trials_are_rare_and_rarer_where_a_path_fails_again(self) -> None:
        """Guards against connections that grow with VMs times endpoints."""
        paths = EndpointPaths(0.0)
        assert not paths.take_trial("a", 0.0)
        paths.on_failed("a", 1.0)
        taken = [at for at in range(10, 40) if paths.take_trial("a", at / 10)]
        assert taken == [10, 20, 30]
        paths.on_connected("a")
        paths.on_answer("a", 4.0)
        paths.on_failed("a", 4.5)
        taken = [at for at in range(45, 90) if paths.take_trial("a", at / 10)]
        assert taken == [45, 65, 85]


class TestAllEndpoints:
    """A VM that reaches no endpoint."""

    def test_failures_at_several_with_no_answer_show_a_cut(self) -> None:
        paths = EndpointPaths(0.0)
        paths.on_answer("c", 1.0)
        paths.on_failed("a", 1.6)
        assert not paths.is_cut(1.6)
        paths.on_failed("b", 1.7)
        assert paths.is_cut(1.7)
        assert paths.is_out_of_reach("never tried", 1.7)

    def test_an_answer_ends_it(self) -> None:
        paths = EndpointPaths(0.0)
        paths.on_failed("a", 1.6)
        paths.on_failed("b", 1.7)
        paths.on_answer("c", 1.8)
        assert not paths.is_cut(1.8)

    def test_endpoints_that_crash_together_show_no_cut_at_once(self) -> None:
        """Guards against passing everything on where two endpoints have ended."""
        paths = EndpointPaths(0.0)
        paths.on_answer("c", 1.6)
        paths.on_failed("a", 1.7)
        paths.on_failed("b", 1.7)
        assert not paths.is_cut(1.7)

    def test_it_does_not_outlive_its_evidence(self) -> None:
        paths = EndpointPaths(0.0)
        paths.on_failed("a", 1.6)
        paths.on_failed("b", 1.7)
        assert not paths.is_cut(1.7 + EVIDENCE_S)
