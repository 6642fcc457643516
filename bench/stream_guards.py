"""Guards of streams that go on only at the software that began them."""

from bench.guard import Change, EndpointPromise, Guard

STREAMS = "tests/test_gateway_stream_versions.py"
MACHINE = "tests/test_streams_machine.py"
VERSIONS = "tests/test_streams.py::TestVersionHistory"
CHECKS = "tests/test_stream_checks.py"
EXCHANGE = "bamboovale/streams/exchange.py"
HISTORY = "bamboovale/streams/version_history.py"
RECORDS = "bamboovale/streams/start_records.py"
RECORDED = "tests/test_stream_records.py"
OUT_OF_STEP = f"{STREAMS}::TestVMOutOfStep"

STREAM_GUARDS = (
    Guard(
        "each attempt of an answer is bound to the software that began it",
        EndpointPromise.STREAMS,
        f"{STREAMS}::TestWithinOneAnswer",
        (
            Change(
                "bamboovale/gateway/stream_progress.py",
                "        if self.source is None:\n            return records\n",
                "        if True:\n            return records\n",
            ),
        ),
    ),
    Guard(
        "a stream that is resumed is bound to the software that began it",
        EndpointPromise.STREAMS,
        f"{STREAMS}::TestOverACallersTries",
        (
            Change(
                "bamboovale/gateway/model_calls.py",
                "        source = await self._streams.source_of(call)\n",
                "        source = None\n",
            ),
        ),
    ),
    Guard(
        "other VMs are told who began a stream",
        EndpointPromise.STREAMS,
        f"{STREAMS}::TestOverACallersTries",
        (Change(EXCHANGE, "        if told:\n", "        if False:\n"),),
    ),
    Guard(
        "VMs that may know a stream are asked",
        EndpointPromise.STREAMS,
        MACHINE,
        (
            Change(
                EXCHANGE,
                "self._others(attempt_id, ASKED)\n",
                "self._others(attempt_id, 0)\n",
            ),
        ),
    ),
    Guard(
        "what nobody knows is refused if several versions may have begun it",
        EndpointPromise.STREAMS,
        f"{STREAMS}::TestUnknownStart",
        (
            Change(
                HISTORY,
                "next(iter(self.versions)) if len(self.versions) == 1 else None",
                "next(iter(self.versions), None)",
            ),
        ),
    ),
    Guard(
        "records are read anew before one version counts as the only one",
        EndpointPromise.STREAMS,
        VERSIONS,
        (Change(HISTORY, " and self.until_s < since_arrival_s", ""),),
    ),
    Guard(
        "versions from before a VM's start may have begun a stream",
        EndpointPromise.STREAMS,
        VERSIONS,
        (Change(HISTORY, "self.since_s >= within_s and ", ""),),
    ),
    Guard(
        "what two VMs know is joined only without a gap",
        EndpointPromise.STREAMS,
        VERSIONS,
        (
            Change(
                HISTORY,
                "earlier.until_s < self.since_s < earlier.since_s",
                "self.since_s < earlier.since_s",
            ),
        ),
    ),
    Guard(
        "a stream whose caller names no attempt needs a history without a gap",
        EndpointPromise.STREAMS,
        f"{STREAMS}::TestAllVMsKilled",
        (
            Change(
                EXCHANGE,
                "        is_proven = await self._prove()\n",
                "        seen = self._seen(stream, asked, stream.within_s)\n"
                "        if stream.attempt_id is None:\n"
                "            return Findings(None, seen.single_version())\n"
                "        is_proven = await self._prove()\n",
            ),
        ),
    ),
    Guard(
        "a part of what is to be read proves nothing",
        EndpointPromise.STREAMS,
        f"{OUT_OF_STEP}::test_a_new_version_behind_many_records_counts",
        (Change("bamboovale/store/follower.py", " and not self._is_behind", ""),),
    ),
    Guard(
        "the services of a route are those of a proven configuration",
        EndpointPromise.STREAMS,
        f"{OUT_OF_STEP}::test_a_service_that_the_route_moved_to_counts[False]",
        (
            Change(
                "bamboovale/gateway/records.py",
                "for follower in self.followers()]",
                "for follower in [self.endpoints]]",
            ),
        ),
    ),
    Guard(
        "streams may have begun at a service that their route has left",
        EndpointPromise.STREAMS,
        f"{OUT_OF_STEP}::test_a_service_that_the_route_moved_to_counts[True]",
        (
            Change(
                HISTORY,
                "self.routes.with_changed(services, within_s, now)",
                "frozenset(services)",
            ),
        ),
    ),
    Guard(
        "what two VMs know is joined at one moment",
        EndpointPromise.STREAMS,
        MACHINE,
        (Change(EXCHANGE, "reply.until_s + now - asked.at", "reply.until_s"),),
    ),
    Guard(
        "streams go on after all VMs ended, by what the store holds",
        EndpointPromise.STREAMS,
        f"{STREAMS}::TestTwoVersionsAndAllVMsKilled",
        (
            Change(
                EXCHANGE,
                "            all_answered &= await self._records.read_new()\n",
                "            pass\n",
            ),
        ),
    ),
    Guard(
        "a start that is recorded is not replaced by the next one",
        EndpointPromise.STREAMS,
        f"{RECORDED}::TestWriting",
        (Change(RECORDS, "        self._written_in_slot += rows\n", ""),),
    ),
    Guard(
        "all pages of recorded starts are read",
        EndpointPromise.STREAMS,
        f"{RECORDED}::TestReading",
        (
            Change(
                RECORDS,
                "            if part.following == position:\n",
                "            if True:\n",
            ),
        ),
    ),
    Guard(
        "starts are recorded seldom while one version serves",
        EndpointPromise.STREAMS,
        f"{RECORDED}::TestWriting",
        (Change(RECORDS, "            await self._until_due()\n", ""),),
    ),
    Guard(
        "another customer gets nothing of a stream",
        EndpointPromise.STREAMS,
        "tests/test_streams.py::TestStarts",
        (
            Change(
                "bamboovale/streams/starts.py",
                " or kept.start.customer != customer",
                "",
            ),
        ),
    ),
    Guard(
        "an engine that starts again under its id gets no stream of before",
        EndpointPromise.STREAMS,
        f"{STREAMS}::TestEngineThatStartsAgain",
        (
            Change(
                "bamboovale/gateway/stream_progress.py",
                "self.source is not None and record.started_ms is not None",
                "False",
            ),
        ),
    ),
    Guard(
        "an engine that leaves goes on with streams that it alone can",
        EndpointPromise.STREAMS,
        f"{STREAMS}::TestSoftwareThatIsGone",
        (
            Change(
                "bamboovale/gateway/place_search.py",
                "        leaving = self._endpoints.leaving(call.service, "
                "self._leaving_use_s)\n",
                "        leaving = []\n",
            ),
        ),
    ),
    Guard(
        "the own interface goes on at the software that began a stream",
        EndpointPromise.STREAMS,
        "tests/test_model_runs.py",
        (
            Change(
                "bamboovale/entry/model_runs.py",
                "        return source.may_go_on_at(engine)\n",
                "        return True\n",
            ),
        ),
    ),
    Guard(
        "mixed streams are found over attempts",
        EndpointPromise.STREAMS,
        CHECKS,
        (
            Change(
                "bamboovale/standins/stream_versions.py",
                "attempt.resumes or attempt.attempt_id",
                "attempt.attempt_id",
            ),
        ),
    ),
    Guard(
        "streams that are refused too often are found",
        EndpointPromise.STREAMS,
        CHECKS,
        (
            Change(
                "bamboovale/standins/stream_versions.py",
                "    if went_on < LEAST_PART * began:\n",
                "    if False:\n",
            ),
        ),
    ),
)
