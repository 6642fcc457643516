"""Guards of callers that left: nobody works for them."""

from bench.guard import Change, EndpointPromise, Guard

TESTS = "tests/test_callers_that_left.py"
LATE = f"{TESTS}::TestLateLoop::test_a_request_whose_caller_left_is_not_sent_on"
UNREAD = f"{TESTS}::TestUnreadClose"
BEHIND = f"{TESTS}::TestCloseBehindBytes"
SERVER_PATH = "bamboovale/http1/server_connection.py"

_SEND_UNASKED = Change(
    "bamboovale/gateway/endpoint_client.py",
    "            call.check_caller()\n",
    "",
)
_TRY_UNASKED = Change(
    "bamboovale/gateway/plain_calls.py",
    "        call.check_caller()\n",
    "",
)

LEFT_GUARDS = (
    Guard(
        "a request that is read after its caller left is dropped",
        EndpointPromise.LEFT,
        f"{LATE}[/book/1]",
        (
            Change(
                "bamboovale/gateway/request_handler.py",
                "        if responder.has_caller_left():\n",
                "        if False:\n",
            ),
            _TRY_UNASKED,
            _SEND_UNASKED,
        ),
    ),
    Guard(
        "no retry is sent for a caller that left",
        EndpointPromise.LEFT,
        f"{UNREAD}::test_no_retry_is_sent",
        (
            _TRY_UNASKED,
            _SEND_UNASKED,
        ),
    ),
    Guard(
        "a place that comes too late is not used",
        EndpointPromise.LEFT,
        f"{UNREAD}::test_a_place_that_is_granted_is_not_used",
        (
            Change(
                "bamboovale/gateway/model_calls.py",
                "        if call.responder.has_caller_left():\n",
                "        if False:\n",
            ),
            _SEND_UNASKED,
        ),
    ),
    Guard(
        "a relay works for nobody whose link has ended",
        EndpointPromise.LEFT,
        f"{TESTS}::TestRelayedRun::test_it_ends_as_the_other_vm_dies",
        (
            Change(
                "bamboovale/relay/server.py",
                "            return relay.unanswered.is_lost\n",
                "            return False\n",
            ),
        ),
    ),
    Guard(
        "no further VM is asked for a caller that left",
        EndpointPromise.LEFT,
        f"{TESTS}::TestRelayedRequest::test_no_vm_is_asked_for_a_caller_that_left",
        (
            Change(
                "bamboovale/relay/client.py",
                "            self._check_wanted()\n",
                "",
            ),
        ),
    ),
    Guard(
        "a close behind more than is read ahead is found",
        EndpointPromise.LEFT,
        f"{BEHIND}::test_behind_more_than_is_read_ahead",
        (
            Change(
                SERVER_PATH,
                "        if self._flow.is_paused:\n",
                "        if False:\n",
            ),
        ),
    ),
    Guard(
        "the end of a caller's bytes ends its request",
        EndpointPromise.LEFT,
        f"{BEHIND}::test_with_an_answer_that_it_does_not_take",
        (
            Change(
                SERVER_PATH,
                "        if self.busy and self._task is not None:\n",
                "        if False:\n",
            ),
        ),
    ),
    Guard(
        "the own interface knows who left before it sends",
        EndpointPromise.LEFT,
        f"{TESTS}::TestOwnInterface"
        "::test_one_that_left_is_known_before_its_request_is_sent",
        (
            Change(
                "bamboovale/entry/disconnects.py",
                "        if has_ended(caller):\n",
                "        if False:\n",
            ),
        ),
    ),
)
