"""Paths, headers and topics of the platform. Only this package uses them."""

# Paths that this process serves.
READY_PATH = "/api/readyz"
RESOLVE_PATH = "/api/resolve"

# Headers with which callers describe a request; they are forwarded unchanged.
REQUEST_ID = b"x-request-id"
MODEL = b"x-model"
TOKEN_COUNT = b"x-token-count"
PROMPT_PREFIX = b"x-prompt-prefix"
LENGTH_HINT = b"x-length-hint"
LAST_EVENT_ID = b"last-event-id"
RESUMES = b"resumes"
DEADLINE = b"x-deadline-ms"
AUTHORIZATION = b"authorization"
KEY_SCHEME = b"token"

# Headers that only the serving layer may set.
EXPECT_INSTANCE = b"x-expect-instance"
EXPECT_VERSION = b"x-expect-version"
URGENCY = b"x-request-urgency"
CUSTOMER = b"x-tenant"

# Headers of answers.
SERVER_STAMP = b"x-server-stamp"
NOT_EXECUTED = b"x-not-executed"
INSTANCE_ID = b"x-instance-id"
RETRY_AFTER = b"retry-after"
SERVER_LIMIT = b"server-limit"
SERVER_LEAVING = b"server-leaving"
SERVER_BRITTLE = b"server-brittle"
CHALLENGE = b"www-authenticate"
CONTENT_LENGTH = b"content-length"
STORE_ERA = b"store-era"

WRONG_INSTANCE_STATUS = 421
NOT_RUN_STATUSES = frozenset({408, WRONG_INSTANCE_STATUS, 429, 503})
"""Statuses by which callers know that a request did not run and never will."""

# Paths of engines.
REPORT_PATH = "/api/report"
ORDER_PATH = "/api/order"

# Topics of the store.
OPERATOR_TOPIC = "keyed.op"
SERVERS_TOPIC = "keyed.servers"
ENTRIES_TOPIC = "keyed.entries"  # addresses of the entry VMs
STREAMS_TOPIC = "keyed.streams"  # who began streams
CONFIG_KEY = "config"
VERSION_PREFIX = "version/"

# Endpoints would treat a caller's values as ours, and refuse a request that refers to
# a hold or a KV source that does not exist.
CALLER_MAY_NOT_SET = frozenset(
    {
        EXPECT_INSTANCE,
        EXPECT_VERSION,
        URGENCY,
        DEADLINE,
        LAST_EVENT_ID,
        b"x-hold",
        b"x-pin-ms",
        b"x-kv-backup",
        b"kv-from",
        b"kv-fetch",
        b"wait-ms",
        SERVER_STAMP,
        NOT_EXECUTED,
        INSTANCE_ID,
    }
)
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        CONTENT_LENGTH,
    }
)
