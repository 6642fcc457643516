"""Guards of what crashes endpoints: refused everywhere, and nothing beside it."""

from bench.guard import Change, EndpointPromise, Guard

PARTS = (
    "tests/test_crashing_parts.py::TestCrashingPart::"
    "test_it_is_refused_and_sound_requests_are_served"
)
REQUESTS = "tests/test_crashing_requests.py::TestCrashingRequest"
EVIDENCE = "tests/test_crash_evidence.py"
KINDS = "tests/test_crashing_kinds.py::TestKinds"

CRASH_GUARDS = (
    Guard(
        "a part that crashes engines is refused",
        EndpointPromise.CRASHES,
        PARTS,
        (
            Change(
                "bamboovale/crashes/guard.py",
                "        return any(self._is_refused(call, subject) "
                "for subject in call.subjects)",
                "        return False",
            ),
        ),
    ),
    Guard(
        "what only ran beside a crash is served",
        EndpointPromise.BESIDE_CRASHES,
        PARTS,
        (
            Change(
                "bamboovale/crashes/suspicion.py",
                "        if not self.is_convicted or now < self.refused_from:\n"
                "            return False",
                "        if self.crashes:\n            return True",
            ),
            Change(
                "bamboovale/crashes/evidence.py",
                "        suspicion = self._suspicion_by_subject.pop(subject, None)\n",
                "        return []\n",
            ),
            Change(
                "bamboovale/crashes/evidence.py",
                "        if self._begun.is_recent(subject, heard_at):\n"
                "            return sound\n",
                "",
            ),
        ),
    ),
    Guard(
        "what explains the crashes is convicted before what ran beside",
        EndpointPromise.BESIDE_CRASHES,
        f"{EVIDENCE}::TestParts::test_the_part_that_explains_more_is_convicted",
        (
            Change(
                "bamboovale/crashes/verdicts.py",
                "            explained |= suspicion_by_subject[subject].crashed",
                "            pass",
            ),
        ),
    ),
    Guard(
        "an answer begun at another VM clears a part",
        EndpointPromise.BESIDE_CRASHES,
        f"{EVIDENCE}::TestParts::test_an_answer_begun_anywhere_clears",
        (
            Change(
                "bamboovale/crashes/evidence.py",
                "self._clear(subject) if age_s < RECENT_S else []",
                "[]",
            ),
        ),
    ),
    Guard(
        "what was served until an endpoint fell silent did not crash it",
        EndpointPromise.BESIDE_CRASHES,
        "tests/test_crashing_parts.py::TestOutage",
        (
            Change(
                "bamboovale/crashes/guard.py",
                "self._evidence.on_crashed(endpoint_id, now, silent_s)",
                "self._evidence.on_crashed(endpoint_id, now)",
            ),
        ),
    ),
    Guard(
        "what was sound before its conviction is tried soon",
        EndpointPromise.BESIDE_CRASHES,
        f"{EVIDENCE}::TestTrials::test_what_was_sound_is_tried_soon",
        (
            Change(
                "bamboovale/crashes/suspicion.py",
                "            if not trials:",
                "            if False:",
            ),
        ),
    ),
    Guard(
        "there is no trial after three that crashed",
        EndpointPromise.CRASHES,
        f"{EVIDENCE}::TestTrials::test_three_trials_are_the_last_ones",
        (
            Change(
                "bamboovale/crashes/suspicion.py",
                "            self.trials += 1",
                "            pass",
            ),
        ),
    ),
    Guard(
        "a closed port shows a crash",
        EndpointPromise.CRASHES,
        f"{REQUESTS}::test_its_crashes_count_while_no_record_expires",
        (
            Change(
                "bamboovale/crashes/signs.py",
                "            if await self._is_port_closed(record):",
                "            if False:",
            ),
            Change(
                "bamboovale/crashes/signs.py",
                "                if other.endpoint_id != change.endpoint_id:",
                "                if False:",
            ),
        ),
    ),
    Guard(
        "a VM that starts is told what crashed",
        EndpointPromise.CRASHES,
        f"{REQUESTS}::test_a_vm_that_starts_later_refuses_it",
        (
            Change(
                "bamboovale/fleet/gossip.py",
                "        for item in news:\n            if self.note_crash(item):",
                "        for item in news:\n            if False:",
            ),
            Change(
                "bamboovale/crashes/records.py",
                "        if not record.key.startswith(KEY_PREFIX):\n"
                "            return False",
                "        return record.key.startswith(KEY_PREFIX)",
            ),
        ),
    ),
    Guard(
        "a stream without a length that ends inside an event is lost",
        EndpointPromise.CRASHES,
        f"{REQUESTS}::test_a_stream_that_ends_inside_an_event_is_a_lost_run",
        (
            Change(
                "bamboovale/gateway/model_calls.py",
                "        if progress.events.has_partial:",
                "        if False:",
            ),
            Change(
                "bamboovale/gateway/model_calls.py",
                "        if not progress.started and not call.is_resumption:",
                "        if False:",
            ),
        ),
    ),
    Guard(
        "a stream without a length that brings no event is lost",
        EndpointPromise.CRASHES,
        "tests/test_gateway_unframed.py::TestBrokenAnswers::"
        "test_a_stream_without_an_event_is_lost",
        (
            Change(
                "bamboovale/gateway/model_calls.py",
                "        if not progress.started and not call.is_resumption:",
                "        if False:",
            ),
        ),
    ),
    Guard(
        "refusals outlast the processes",
        EndpointPromise.CRASHES,
        f"{REQUESTS}::test_all_vms_restart_and_refuse_it",
        (
            Change(
                "bamboovale/crashes/guard.py",
                "        if self._is_designated(refused.subject):\n"
                "            self._record(refused)",
                "        pass",
            ),
        ),
    ),
    Guard(
        "waiting requests are asked again",
        EndpointPromise.CRASHES,
        f"{REQUESTS}::test_requests_that_wait_are_refused_too",
        (
            Change(
                "bamboovale/gateway/model_calls.py",
                "        if self._crashes.is_refused(call):\n"
                "            return progress",
                "        if False:\n            return progress",
            ),
        ),
    ),
    Guard(
        "a helper looks for the sender",
        EndpointPromise.CRASHES,
        f"{REQUESTS}::test_crashes_count_that_only_a_helper_sees",
        (
            Change(
                "bamboovale/relay/server.py",
                "            self._on_run_lost(request.endpoint_id)",
                "            pass",
            ),
        ),
    ),
    Guard(
        "a failure that an endpoint answers clears no plain request",
        EndpointPromise.CRASHES,
        f"{KINDS}::test_a_failure_that_an_endpoint_answers_does_not_clear_it[safe_get]",
        (
            Change(
                "bamboovale/gateway/plain_calls.py",
                "                    watch.on_failure()",
                "                    pass",
            ),
        ),
    ),
    Guard(
        "an answer that begins does not clear its request",
        EndpointPromise.CRASHES,
        "tests/test_crashing_kinds.py::TestBegunAnswers::"
        "test_it_is_refused_everywhere[stream]",
        (
            Change(
                "bamboovale/crashes/guard.py",
                "call.subjects[:1] if began else call.subjects:",
                "() if began else call.subjects:",
            ),
        ),
    ),
)
