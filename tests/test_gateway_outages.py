"""What entry VMs believe while the store, or the way to it, fails for some or all."""

import asyncio

from tests.gateway_site import eventually, run, running_site


class TestWhatAnOutageShows:
    """What operators see while the store fails."""

    def test_the_dump_and_the_counters_tell_of_a_read_without_answer(self) -> None:
        """Guards against a lost answer that no log, dump or counter shows."""

        async def test() -> None:
            async with running_site() as site:
                vm = site.vms[0].vm
                await asyncio.sleep(0.3)
                read = vm.dump()["store_reads"]["keyed.op"]
                assert read["open_s"] >= 0.2
                assert read["answered_s_ago"] >= read["open_s"]
                assert vm.records.operator.open_read_s() is not None

        run(test())

    def test_a_record_that_lapses_in_an_outage_is_logged(self) -> None:
        """Guards against an endpoint that is kept for a reason nobody can see."""

        async def test() -> None:
            async with running_site() as site:
                site.store.faults.mode = "busy"
                await asyncio.sleep(2.5)
                await site.services[0].unregister()
                site.store.faults.mode = "ok"
                await eventually(lambda: site.vms[0].journal.of("endpoint_lapsed"))
                (line,) = site.vms[0].journal.of("endpoint_lapsed")
                assert line["endpoint"] == "service-0"
                assert site.vms[0].vm.dump()["lapsed_endpoints"] == ["service-0"]

        run(test())
