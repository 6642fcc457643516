"""Guards of what other writers' odd records and errors nobody expects may end."""

from bench.guard import Change, EndpointPromise, Guard

RECORDS = "tests/test_odd_records.py"
FOLLOWS = f"{RECORDS}::TestOddRecords::test_a_vm_follows_on_after_each_kind"
INPUT = "tests/test_outside_input.py"
JOBS = "tests/test_gateway_jobs.py::TestVM"

_NAMED_ERRORS_ONLY = (
    Change(
        "bamboovale/store/record_guard.py",
        "            return self._on_record(record)\n        except Exception",
        "            return self._on_record(record)\n        except KeyError",
    ),
)

ODD_GUARDS = (
    Guard(
        "an endpoint's record that fails ends nothing",
        EndpointPromise.ODD,
        f"{FOLLOWS}[keyed.servers]",
        _NAMED_ERRORS_ONLY,
    ),
    Guard(
        "a configuration that fails ends nothing",
        EndpointPromise.ODD,
        f"{FOLLOWS}[keyed.op]",
        _NAMED_ERRORS_ONLY,
    ),
    Guard(
        "a task that an error ended runs again",
        EndpointPromise.ODD,
        f"{JOBS}::test_a_vm_follows_owns_and_finds_others_after_errors_nobody_expects",
        (
            Change(
                "bamboovale/gateway/jobs.py",
                "            on_failed(name)\n        await",
                "            on_failed(name)\n            return\n        await",
            ),
        ),
    ),
    Guard(
        "numbers of records are bounded",
        EndpointPromise.ODD,
        f"{FOLLOWS}[keyed.servers]",
        (
            Change(
                "bamboovale/decoding.py",
                "        elif -MAX_NUMBER <= value <= MAX_NUMBER:",
                "        elif True:",
            ),
        ),
    ),
    Guard(
        "an unreadable record of a known endpoint is no removal",
        EndpointPromise.ODD,
        f"{RECORDS}::TestKnownEndpoint::"
        "test_it_gets_no_new_work_until_it_is_sound_again",
        (
            Change(
                "bamboovale/gateway/records.py",
                "state.endpoints.on_unreadable_record(record.key)",
                "state.endpoints.on_record(record.key, None)",
            ),
        ),
    ),
    Guard(
        "changes for other VMs fit into a message",
        EndpointPromise.ODD,
        f"{RECORDS}::TestChangesForOtherVMs::test_large_records_fit_into_a_message",
        (
            Change(
                "bamboovale/fleet/topic_changes.py",
                " or self._bytes > MAX_BYTES",
                "",
            ),
        ),
    ),
)
