"""Customers, their API keys and quotas on the routed interface."""

import asyncio
import contextlib
import json
import time
from typing import Any

import pytest

from bamboovale.decoding import BadRecordError
from bamboovale.gateway.customers import Quota, QuotaUnit
from bamboovale.gateway.journal import Journal
from bamboovale.http1.connection import ConnectFailed
from bamboovale.platform.configuration import decode_routing_table
from bamboovale.platform.customers import MAX_KEY_BYTES, decode_key
from tests.gateway_site import (
    CallerAnswer,
    RunningVM,
    Site,
    call,
    configuration,
    eventually,
    proxy_of_store,
    route,
    run,
    running_site,
)

KEY = "key-of-agency-1-abcdef"
OTHER_KEY = "key-of-agency-2-ghijkl"
STRICT = {"strict-revoke": True, "revoke-ms": 2000}


def customer(name: str, *keys: str, **fields: Any) -> dict[str, Any]:
    """Return a customer of the operator's configuration."""
    return {"name": name, "api-keys": list(keys), **fields}


def with_customers(*customers: dict[str, Any], version: int = 1) -> dict[str, Any]:
    """Return a configuration with customers and one public route."""
    public = route("open", "app", "safe", public=True)
    return {
        **configuration(version=version, extra=(public,)),
        "tenants": list(customers),
    }


def authorization(key: str) -> dict[str, str]:
    """Return the header with a key."""
    return {"Authorization": f"Token {key}"}


async def check(
    vm: RunningVM, key: str | None, path: str = "/check/1", **headers: str
) -> CallerAnswer:
    """Send a plain call with a key."""
    sent = {**(authorization(key) if key is not None else {}), **headers}
    return await call(vm.address, path, headers=sent)


def last_headers(site: Site) -> list[tuple[bytes, bytes]]:
    """Return the headers of the last run of the plain endpoint."""
    return list(site.services[0].runs[-1].headers)


class TestKeys:
    """Which requests run, and what endpoints see of them."""

    def test_an_endpoint_sees_the_customer_and_never_the_key(self) -> None:
        """Guards against keys that leak to endpoints by any header."""

        async def test() -> None:
            config = with_customers(customer("agency-1", KEY))
            async with running_site(config=config) as site:
                answer = await check(
                    site.vms[0],
                    KEY,
                    **{"X-Tenant": "agency-9", "X-Note": f"mine is {KEY}"},
                )
                assert answer.status == 200
                headers = last_headers(site)
                assert (b"x-tenant", b"agency-1") in headers
                assert [name for name, _ in headers].count(b"x-tenant") == 1
                assert not any(KEY.encode() in value for _, value in headers)
                answer = await call(
                    site.vms[0].address,
                    "/chat/1",
                    adapter="a1",
                    headers=authorization(KEY),
                )
                assert answer.status == 200
                streamed = site.runners[0].runs[-1].headers
                assert (b"x-tenant", b"agency-1") in streamed
                assert not any(KEY.encode() in value for _, value in streamed)

        run(test())

    def test_without_a_known_key_nothing_runs(self) -> None:
        """Guards against requests that run without a customer."""

        async def test() -> None:
            config = with_customers(customer("agency-1", KEY))
            async with running_site(config=config) as site:
                vm = site.vms[0]
                for key in (None, "unknown-key-0", "k" * (MAX_KEY_BYTES + 1)):
                    answer = await check(vm, key)
                    assert answer.status == 401
                    assert answer.header("www-authenticate") == "Token"
                basic = await check(vm, None, Authorization=f"Basic {KEY}")
                assert basic.status == 401
                assert not site.services[0].runs

        run(test())

    def test_a_public_route_needs_no_key_and_hides_it(self) -> None:
        async def test() -> None:
            config = with_customers(customer("agency-1", KEY))
            async with running_site(config=config) as site:
                vm = site.vms[0]
                answer = await check(vm, None, "/open/1", **{"X-Tenant": "agency-1"})
                assert answer.status == 200
                assert b"x-tenant" not in dict(last_headers(site))
                assert (await check(vm, "some-unknown-key", "/open/1")).status == 200
                assert b"authorization" not in dict(last_headers(site))

        run(test())

    def test_without_customers_headers_pass_unchanged(self) -> None:
        async def test() -> None:
            async with running_site() as site:
                answer = await check(site.vms[0], KEY, **{"X-Tenant": "mine"})
                assert answer.status == 200
                headers = last_headers(site)
                assert (b"authorization", f"Token {KEY}".encode()) in headers
                assert (b"x-tenant", b"mine") in headers

        run(test())

    def test_added_and_removed_keys_apply_at_every_vm(self) -> None:
        async def test() -> None:
            config = with_customers(customer("agency-1", KEY))
            async with running_site(vms=2, config=config) as site:
                changed = with_customers(customer("agency-1", OTHER_KEY), version=2)
                await site.store.put("keyed.op", "config", changed)
                for vm in site.vms:
                    await eventually(lambda vm=vm: vm.vm.state.table.version == 2)
                    assert (await check(vm, KEY)).status == 401
                    assert (await check(vm, OTHER_KEY)).status == 200

        run(test())

    def test_a_customers_priority_goes_before_the_routes(self) -> None:
        async def test() -> None:
            config = with_customers(customer("agency-1", KEY, priority=3))
            async with running_site(config=config) as site:
                headers = authorization(KEY)
                path, vm = "/chat/1", site.vms[0]
                await call(vm.address, path, adapter="a1", headers=headers)
                sent = dict(site.runners[0].runs[-1].headers)
                assert sent[b"x-request-urgency"] == b"7"

        run(test())

    def test_keys_are_in_no_log_dump_or_metric(self) -> None:
        """Guards against keys that operators' tools show."""

        async def test() -> None:
            config = with_customers(customer("agency-1", KEY))
            async with running_site(vms=2, config=config) as site:
                bad = with_customers(customer("", OTHER_KEY), version=2)
                await site.store.put("keyed.op", "config", bad)
                vm = site.vms[0]
                await eventually(lambda: vm.journal.of("bad_record"))
                await check(vm, KEY)
                await check(vm, "wrong-" + KEY)
                await call(
                    vm.address, "/chat/1", adapter="a1", headers=authorization(KEY)
                )
                table = vm.vm.state.table
                shown = [
                    json.dumps(vm.journal.lines, default=repr),
                    json.dumps(vm.vm.dump(), default=repr),
                    repr(table),
                    vm.vm._metrics.expose().decode(),
                ]
                for text in shown:
                    assert KEY not in text
                    assert OTHER_KEY not in text

        run(test())

    def test_two_authorization_headers_are_no_key(self) -> None:
        value = (b"authorization", f"Token {KEY}".encode())
        assert decode_key([value]) == KEY.encode()
        assert decode_key([value, value]) is None
        assert decode_key([(b"authorization", b"Token ")]) is None
        assert decode_key([(b"authorization", b"Token two words")]) is None


class TestConfiguration:
    """Decoding of customers."""

    def test_all_findings_are_named_with_their_place(self) -> None:
        config = with_customers(
            customer("agency-1", KEY),
            customer("agency-1"),
            customer("agency-2", KEY, "has space"),
            customer("agency-3", **{"rate-per-s": -1}),
        )
        with pytest.raises(BadRecordError) as error:
            decode_routing_table(json.dumps(config).encode())
        text = str(error.value)
        for place in (
            "tenants.1.name",
            "tenants.2.api-keys.0",
            "tenants.2.api-keys.1",
            "tenants.3.rate-per-s",
        ):
            assert place in text
        assert KEY not in text

    def test_a_customer_may_have_lost_all_keys(self) -> None:
        config = with_customers(customer("agency-1"))
        table = decode_routing_table(json.dumps(config).encode())
        assert table.customers is not None
        assert table.customers.holder_of(KEY.encode()) is None

    def test_costs_by_unit(self) -> None:
        assert Quota(1, 1).cost(500) == 1.0
        by_tokens = Quota(1, 1, QuotaUnit.TOKENS, uncounted_tokens=200)
        assert by_tokens.cost(500) == 500.0
        assert by_tokens.cost(None) == 200.0


class TestRevocation:
    """A key that was taken away stops working everywhere within the bound."""

    def test_a_vm_without_any_proof_refuses_keys_after_the_bound(self) -> None:
        """Guards against a VM cut off from store and peers that accepts old keys."""

        async def test() -> None:
            config = with_customers(customer("agency-1", KEY))
            async with running_site(
                config=config, behind_proxy=True, bounds=STRICT
            ) as site:
                vm, proxy = site.vms[0], site.store_proxy
                assert (await check(vm, KEY)).status == 200
                proxy.faults.refuse = True
                proxy.reset()
                revoked = with_customers(customer("agency-1"), version=2)
                await site.store.put("keyed.op", "config", revoked)
                await asyncio.sleep(2.0)
                runs = len(site.services[0].runs)
                answer = await check(vm, KEY)
                assert answer.status == 503
                assert float(answer.header("retry-after") or 0) > 0
                assert len(site.services[0].runs) == runs
                assert (await check(vm, None, "/open/1")).status == 200
                proxy.faults.refuse = False
                await eventually(lambda: vm.vm.state.table.version == 2)
                assert (await check(vm, KEY)).status == 401

        run(test())

    def test_a_read_held_back_by_a_cut_proves_nothing(self) -> None:
        """Guards against answers that arrive late and look new."""

        async def test() -> None:
            config = with_customers(customer("agency-1", KEY))
            async with running_site(
                config=config, behind_proxy=True, bounds=STRICT
            ) as site:
                vm, proxy = site.vms[0], site.store_proxy
                proxy.faults.hold_answers = True
                await asyncio.sleep(2.0)
                assert (await check(vm, KEY)).status == 503
                proxy.faults.hold_answers = False
                await eventually(lambda: vm.vm.dump()["view"]["fresh"])
                assert (await check(vm, KEY)).status == 200

        run(test())

    def test_a_vm_without_store_gets_proofs_from_its_neighbours(self) -> None:
        """Guards against refusals by a VM whose peers can show that nothing changed."""

        async def test() -> None:
            config = with_customers(customer("agency-1", KEY))
            async with running_site(vms=3, config=config, bounds=STRICT) as site:
                proxy = await proxy_of_store(site)
                cut = await site.add_vm("cut-off", store=proxy.address, **STRICT)
                await site.ready()
                proxy.faults.refuse = True
                proxy.reset()
                for _ in range(12):
                    await asyncio.sleep(0.3)
                    assert (await check(cut, KEY)).status == 200
                revoked = with_customers(customer("agency-1"), version=2)
                await site.store.put("keyed.op", "config", revoked)
                await eventually(lambda: cut.vm.state.table.version == 2)
                assert (await check(cut, KEY)).status == 401
                proxy.close()

        run(test())

    def test_a_vm_without_proof_is_not_advertised(self) -> None:
        """Guards against callers that are sent to a VM that must refuse them."""

        async def test() -> None:
            config = with_customers(customer("agency-1", KEY))
            async with running_site(vms=2, config=config) as site:
                vm = site.vms[0].vm
                vm.state.node = site.vms[0].node
                vm.state.view.bound_s = 0.1
                vm.state.view.proven_at = -1e9
                vm._view_watch.update_bound = lambda: None  # type: ignore[method-assign]
                vm.state.view.on_proof = lambda *proof: None  # type: ignore[method-assign]
                await eventually(lambda: not vm.state.serving())
                assert vm.state.journal.of("view_unproven")  # type: ignore[attr-defined]

        run(test())


class TestQuotas:
    """A customer's limit over all VMs."""

    def test_what_is_over_the_limit_is_refused_with_a_delay(self) -> None:
        async def test() -> None:
            limited = customer("agency-1", KEY, **{"rate-per-s": 2, "burst": 4})
            free = customer("agency-2", OTHER_KEY)
            async with running_site(
                vms=2, config=with_customers(limited, free)
            ) as site:
                await asyncio.sleep(2.0)
                answers = [
                    await check(site.vms[number % 2], KEY) for number in range(60)
                ]
                refused = [answer for answer in answers if answer.status == 429]
                assert len(answers) - len(refused) <= 24
                assert refused
                assert all(float(a.header("retry-after") or 0) > 0 for a in refused)
                assert (await check(site.vms[0], OTHER_KEY)).status == 200

        run(test())

    def test_what_is_within_the_limit_is_admitted_by_any_vm(self) -> None:
        """Guards against equal shares, of which one VM's callers need more."""

        async def test() -> None:
            limited = customer("agency-1", KEY, **{"rate-per-s": 20, "burst": 20})
            async with running_site(vms=3, config=with_customers(limited)) as site:
                await check(site.vms[0], KEY)
                await asyncio.sleep(2.0)
                for _ in range(30):
                    assert (await check(site.vms[0], KEY)).status == 200
                    await asyncio.sleep(0.06)

        run(test())

    def test_what_did_not_run_is_given_back(self) -> None:
        async def test() -> None:
            limited = customer("agency-1", KEY, **{"rate-per-s": 5, "burst": 5})
            async with running_site(services=1, config=with_customers(limited)) as site:
                site.services[0].faults.refuse = True
                vm = site.vms[0].vm
                for _ in range(10):
                    assert (await check(site.vms[0], KEY)).status in (429, 503)
                assert vm.dump()["quotas"]["shares"]["agency-1"]["used"] == 0.0

        run(test())


class TestJournalOfRefusals:
    """From a refusal to its cause by the request's id."""

    def test_each_refusal_names_its_reason(self) -> None:
        async def test() -> None:
            config = with_customers(customer("agency-1", KEY))
            async with running_site(config=config) as site:
                await call(site.vms[0].address, "/check/1", attempt="lost-key")
                (line,) = [
                    line
                    for line in site.vms[0].journal.of("request")
                    if line["id"] == "lost-key"
                ]
                assert line["outcome"] == "key_rejected"
                assert line["reason"] == "no valid key"
                assert line["not_run"]
                assert isinstance(site.vms[0].journal, Journal)

        run(test())


class TestStoreFromAnOlderCopy:
    """A key is taken away, and the store returns from a copy that still has it."""

    @staticmethod
    async def refused_for(vm: RunningVM, seconds: float) -> None:
        """Check for a while that a VM runs nothing with the key."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            with contextlib.suppress(ConnectFailed):
                assert (await check(vm, KEY)).status in (401, 503)
            await asyncio.sleep(0.02)

    def test_it_stays_revoked_at_vms_that_know(self) -> None:
        """Guards against the configuration of the copy."""

        async def test() -> None:
            config = with_customers(customer("agency-1", KEY))
            async with running_site(vms=2, config=config, bounds=STRICT) as site:
                older = site.store.keep_copy()
                revoked = with_customers(customer("agency-1"), version=2)
                await site.store.put("keyed.op", "config", revoked)
                for vm in site.vms:
                    await eventually(lambda vm=vm: vm.vm.state.table.version == 2)
                await site.store.return_from(older)
                await asyncio.gather(*(self.refused_for(vm, 3.0) for vm in site.vms))

        run(test())

    def test_a_vm_that_starts_before_it_is_written_again_refuses_it(self) -> None:
        """Guards against a VM that knows the copy only."""

        async def test() -> None:
            config = with_customers(customer("agency-1", KEY))
            async with running_site(vms=2, config=config, bounds=STRICT) as site:
                older = site.store.keep_copy()
                revoked = with_customers(customer("agency-1"), version=2)
                await site.store.put("keyed.op", "config", revoked)
                for vm in site.vms:
                    await eventually(lambda vm=vm: vm.vm.state.table.version == 2)
                await site.store.return_from(older)
                started = await site.add_vm("entry-new", **STRICT)
                await self.refused_for(started, 3.0)

        run(test())

    def test_an_answer_of_the_copy_proves_nothing(self) -> None:
        """Guards against a key taken away in what was lost before any VM read it."""

        async def test() -> None:
            config = with_customers(customer("agency-1", KEY))
            async with running_site(config=config, bounds=STRICT) as site:
                older = site.store.keep_copy()
                revoked = with_customers(customer("agency-1"), version=2)
                acknowledged_at = time.monotonic()
                await site.store.return_from(older)
                site.store.note_written("keyed.op", "config", revoked)
                site.store.faults.mode = "silent"
                await asyncio.sleep(1.8)
                site.store.faults.mode = "ok"
                vm = site.vms[0]
                while time.monotonic() - acknowledged_at < STRICT["revoke-ms"] / 1000:
                    await asyncio.sleep(0.02)
                await self.refused_for(vm, 1.2)
                await site.store.write_again()
                statuses = [503]
                while statuses[-1] == 503 and len(statuses) < 100:
                    statuses.append((await check(vm, KEY)).status)
                    await asyncio.sleep(0.02)
                assert statuses[-1] == 401

        run(test())
