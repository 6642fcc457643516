"""The command ``bamboovale catalogue begin-anew``."""

from collections.abc import Iterator
from typing import Any

import pytest
from typer.testing import CliRunner

from bamboovale.admin.app import AdministrationApp
from bamboovale.catalogue.edits import parse_edit
from bamboovale.catalogue.fold import Catalogue
from bamboovale.catalogue.snapshots import SnapshotAssembler, read_snapshot
from bamboovale.cli.main import app
from bamboovale.http_client import HttpClient
from bamboovale.log_service.log_client import LogClient
from bamboovale.standins import log
from bamboovale.standins.server import running
from bamboovale.status import ExitStatus
from tests.admin_port import ListPort, serve
from tests.standin_client import StandInClient
from tests.test_catalogue_fold import POOL, change, edit


class Site:
    """A log whose two edits have expired, and one entry VM."""

    def __init__(self, log_url: str, admin_url: str, port: ListPort) -> None:
        self.port = port
        self.urls = [f"--log={log_url}", f"--admin={admin_url}"]
        self.log = LogClient(log_url, HttpClient("127.0.0.1"))
        for number in range(2):
            self.log.append("catalogue", edit(f"0000000{number}", change(POOL)))
        self.control = StandInClient(log_url)
        self.control.set_faults(retention_records=0)

    def begin_anew(self, *options: str) -> Any:
        command = ["catalogue", "begin-anew", *self.urls, *options]
        return CliRunner().invoke(app, command)


@pytest.fixture
def site() -> Iterator[Site]:
    port = ListPort()
    with (
        running(log.create_server("127.0.0.1:0")) as log_url,
        serve(AdministrationApp(port)) as admin_url,
    ):
        yield Site(log_url, admin_url, port)


class TestBeginAnew:
    """Recovery after all entry VMs were down for longer than the log's retention."""

    def test_edits_are_accepted_again_and_revisions_continue(self, site: Site) -> None:
        # Guards against a stream that no VM can fold, because its first records
        # have expired and it holds no snapshot.
        site.control.call("GET", "/streams/catalogue/records?from=0")
        site.control.set_faults(retention_records=None)
        done = site.begin_anew()
        assert done.exit_code == ExitStatus.SUCCESS, done.output
        batch = site.log.read("catalogue", 0, wait_s=0.0).unwrap()
        snapshot = SnapshotAssembler(batch.first).add(batch.records[0].value)
        assert snapshot is not None
        catalogue = Catalogue.empty()
        assert catalogue.adopt(read_snapshot(snapshot))
        catalogue.apply(2, batch.records[0].value)
        outcome = catalogue.apply(3, edit("00000009", change(POOL, base=0)))
        assert outcome is not None and outcome.accepted and outcome.revision == 4

    def test_is_rejected_while_a_vm_has_the_catalogue(self, site: Site) -> None:
        site.port.submit(parse_edit(edit("00000001", change(POOL))).unwrap(), 1.0)
        done = site.begin_anew()
        assert done.exit_code == ExitStatus.REJECTED
        assert "at revision 1" in done.output

    def test_is_rejected_while_records_are_retained(self, site: Site) -> None:
        site.control.set_faults(retention_records=None)
        site.log.append("catalogue", edit("00000002", change(POOL)))
        assert site.begin_anew().exit_code == ExitStatus.REJECTED
        assert site.begin_anew("--drop-records").exit_code == ExitStatus.SUCCESS
