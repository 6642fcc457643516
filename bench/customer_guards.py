"""Guards of the promises to customers: keys, revocation and quotas."""

from bench.guard import Change, CustomerPromise, Guard

CUSTOMER_GUARDS = (
    Guard(
        "headers that contain the key are dropped",
        CustomerPromise.KEYS,
        "tests/test_customers.py::TestKeys::"
        "test_an_endpoint_sees_the_customer_and_never_the_key",
        (
            Change(
                "bamboovale/platform/customers.py",
                "(searched is None or searched not in value)",
                "name",
            ),
        ),
    ),
    Guard(
        "a customer that the caller names itself is dropped",
        CustomerPromise.KEYS,
        "tests/test_customers.py::TestKeys::"
        "test_a_public_route_needs_no_key_and_hides_it",
        (
            Change(
                "bamboovale/platform/customers.py",
                "own = {names.AUTHORIZATION, names.CUSTOMER}",
                "own = {names.AUTHORIZATION}",
            ),
        ),
    ),
    Guard(
        "findings on a configuration name places, never values",
        CustomerPromise.KEYS,
        "tests/test_customers.py::TestKeys::test_keys_are_in_no_log_dump_or_metric",
        (
            Change(
                "bamboovale/platform/customers.py",
                'self._find(f"{path}.name", "printable text is required")',
                'self._find(f"{path}.name", f"text is required: {item}")',
            ),
        ),
    ),
    Guard(
        "a configuration does not show its source",
        CustomerPromise.KEYS,
        "tests/test_customers.py::TestKeys::test_keys_are_in_no_log_dump_or_metric",
        (
            Change(
                "bamboovale/gateway/model.py",
                'source: bytes = field(default=b"", repr=False)',
                'source: bytes = field(default=b"")',
            ),
        ),
    ),
    Guard(
        "a VM without a proof of its view accepts no key",
        CustomerPromise.REVOCATION,
        "tests/test_customers.py::TestRevocation::"
        "test_a_vm_without_any_proof_refuses_keys_after_the_bound",
        (
            Change(
                "bamboovale/gateway/access.py",
                "if not self._view.is_fresh(self._clock()):",
                "if not facts:",
            ),
        ),
    ),
    Guard(
        "a read proves the moment at which it was sent, not when it is answered",
        CustomerPromise.REVOCATION,
        "tests/test_gateway_parts.py::TestProofsOfReads::"
        "test_a_late_answer_proves_the_moment_of_its_read",
        (
            Change(
                "bamboovale/store/follower.py",
                "self._proven_at = sent_at + waited_s",
                "self._proven_at = lease_clock() + waited_s",
            ),
        ),
    ),
    Guard(
        "a neighbour's proof is dated from our stamp",
        CustomerPromise.REVOCATION,
        "tests/test_decisions_view_freshness.py::TestProofs::"
        "test_no_proof_is_dated_later_than_a_read_of_the_store",
        (
            Change(
                "bamboovale/fleet/view_proofs.py",
                "proven_at = sent_at + (held_ms - age_ms) / 1000",
                "proven_at = self._clock() - age_ms / 1000",
            ),
        ),
    ),
    Guard(
        "a new account begins used up",
        CustomerPromise.QUOTAS,
        "tests/test_decisions_quota.py::TestQuotaBudget::test_it_begins_used_up",
        (
            Change(
                "bamboovale/decisions/quota_budget.py",
                "self._in_bucket = 0.0",
                "self._in_bucket = burst",
            ),
            Change(
                "bamboovale/decisions/usage_window.py",
                "self.restore(self._capacity / 2, self._capacity / window_s, now, now)",
                "pass",
            ),
        ),
    ),
    Guard(
        "VMs that know no account share the rate",
        CustomerPromise.QUOTAS,
        "tests/test_decisions_quota.py::TestMeter::"
        "test_without_an_account_first_requests_take_no_more_than_the_rate",
        (
            Change(
                "bamboovale/decisions/quota_meter.py",
                "is_admitted = self._rng.random() * cost < meter.allowance",
                "is_admitted = True",
            ),
        ),
    ),
    Guard(
        "an account that moves goes on from the newest reply",
        CustomerPromise.QUOTAS,
        "tests/test_quota_peaks.py::TestMovedAccount::"
        "test_it_goes_on_from_the_newest_reply",
        (
            Change(
                "bamboovale/decisions/quota_account.py",
                "self._budget.credit(credit - self._credited, now)",
                "pass",
            ),
        ),
    ),
    Guard(
        "what VMs that are cut off may admit counts as used",
        CustomerPromise.QUOTAS,
        "tests/test_quota_peaks.py::TestMovedAccount::"
        "test_use_of_a_vm_that_is_cut_off_is_presumed_and_reconciled",
        (
            Change(
                "bamboovale/decisions/quota_account.py",
                "held = reporter.held(now)",
                "held = 0.0",
            ),
        ),
    ),
    Guard(
        "a VM that has lost the account keeps its share for a while only",
        CustomerPromise.QUOTAS,
        "tests/test_decisions_quota.py::TestFleet::"
        "test_the_bound_holds_while_halves_are_cut_apart[fleet1-150000.0]",
        (
            Change(
                "bamboovale/decisions/quota_meter.py",
                "LEASE_S = 1.0",
                "LEASE_S = 30.0",
            ),
        ),
    ),
)
