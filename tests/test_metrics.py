"""Metrics of a running entry VM, scraped over HTTP."""

import random
from dataclasses import replace

import urllib3

from bamboovale.decisions.failure_row import MIN_ROW
from bamboovale.decisions.policy import Policy
from bamboovale.entry.decision_facade import DecisionFacade
from bamboovale.environment import Environment
from bamboovale.models import VM, VMKind
from bamboovale.settings import Settings
from bamboovale.views import Views
from bench.cluster import ClusterConfig, running_cluster
from bench.http import call_json
from bench.members import ADMIN_TOKEN, BASE_MODEL, ENGINE_POOL, SERVICE_POOL
from tests.standin_client import wait_until

ENTRIES = [
    {"kind": "pool", "name": ENGINE_POOL, "base_model": BASE_MODEL},
    {
        "kind": "adapter",
        "name": "summaries",
        "adapter": "summaries",
        "version": "1",
        "source": "weights/summaries",
        "base_model": BASE_MODEL,
        "pool": ENGINE_POOL,
        "owner": "agency-1",
    },
    {
        "kind": "service",
        "name": "market-app",
        "pool": SERVICE_POOL,
        "owner": "agency-1",
    },
]


def scrape(admin_url: str) -> dict[str, float]:
    """Return the value of each sample by its name and labels in the exposition."""
    headers = {"Authorization": f"Bearer {ADMIN_TOKEN}"}
    with urllib3.PoolManager(retries=False) as http:
        text = http.request("GET", f"{admin_url}/metrics", headers=headers).data
    lines = [line for line in text.decode().splitlines() if not line.startswith("#")]
    return {line.rpartition(" ")[0]: float(line.rpartition(" ")[2]) for line in lines}


def requests_timed(admin_url: str) -> float:
    """Return the number of requests whose end is in the metrics."""
    samples = scrape(admin_url)
    kinds = ("model", "service")
    names = [f'bamboovale_request_seconds_count{{kind="{kind}"}}' for kind in kinds]
    return sum(samples.get(name, 0.0) for name in names)


class TestScrape:
    """``GET /metrics`` after two model requests and two calls."""

    def test_requests_stalls_and_times_are_counted(self, tmp_path) -> None:
        """Only the first request waits for its adapter's load."""
        config = ClusterConfig(engines=1, services=1, entries=1)
        with running_cluster(config, tmp_path) as cluster:
            (entry,) = cluster.live_entries()
            edit = {"entries": ENTRIES}
            status, answer = entry.ask_admin(
                "POST",
                "/admin/v1/apply",
                edit,
                {"X-Author": "test"},
            )
            assert status == 200, answer
            base = f"http://{entry.callers_address}"
            body = {"model": "summaries", "prompt": "x", "max_tokens": 2}
            for _ in range(2):
                assert call_json("POST", f"{base}/v1/completions", body)[0] == 200
                assert call_json("GET", f"{base}/services/market-app/x")[0] == 200
            # A request is counted after its last byte, which its caller may read first.
            wait_until(lambda: requests_timed(entry.admin_url) >= 4)
            samples = scrape(entry.admin_url)
        assert samples['bamboovale_requests_total{outcome="ok"}'] == 4
        assert samples['bamboovale_request_seconds_count{kind="model"}'] == 2
        assert samples['bamboovale_request_seconds_count{kind="service"}'] == 2
        assert samples["bamboovale_load_stall_seconds_count"] == 1
        assert samples["bamboovale_load_stall_seconds_sum"] >= 0.3
        assert samples["bamboovale_permits_granted_total"] == 2
        assert samples["bamboovale_loads_total"] == 1
        assert samples["bamboovale_attempts_total"] == 4


class TestEjections:
    """An endpoint of a plain service that fails repeatedly."""

    def test_each_ejection_counts_once(self) -> None:
        settings = Settings.from_values(
            {
                "id": "e1",
                "failure_domain": "muc-a",
                "log": "http://127.0.0.1:1",
                "vms": "http://127.0.0.1:1",
            }
        ).unwrap()
        # A fixed clock and seed: an ejection that ends and recurs would count twice.
        environment = replace(
            Environment.from_settings(settings),
            now=lambda: 0.0,
            rng=random.Random(1),
        )
        views = Views()
        rows = [VM(f"s{number}", VMKind.SERVICE, "127.0.0.1") for number in range(4)]
        views.membership = views.membership.with_changes(
            vms=[replace(row, pool="market-app") for row in rows]
        )
        facade = DecisionFacade(environment, views, Policy.chosen())
        facade.on_membership()
        for number in range(20):
            # Forces enough calls to s0: random choice may not reach the threshold.
            others = {"s1", "s2", "s3"} if number < MIN_ROW else {"s0"}
            endpoint = facade.choose_endpoint("market-app", f"c{number}", others)
            assert endpoint is not None
            facade.call_ended("market-app", endpoint, f"c{number}", endpoint != "s0")
        counted = environment.metrics.registry.get_sample_value(
            "bamboovale_ejections_total"
        )
        assert facade.dump()["ejected"] == {"market-app": ["s0"]}
        assert counted == 1
