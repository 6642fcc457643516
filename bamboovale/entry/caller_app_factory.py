"""Builds the callers' application from the components of an entry VM."""

from dataclasses import dataclass

from bamboovale.crashes.reporter import CrashReporter
from bamboovale.entry.caller_app import CallerApp
from bamboovale.entry.decision_facade import DecisionFacade
from bamboovale.entry.disconnects import DisconnectWatcher
from bamboovale.entry.endpoint_connections import EndpointConnections
from bamboovale.entry.model_requests import ModelRequests
from bamboovale.entry.model_runs import ModelRuns
from bamboovale.entry.permits import PermitClient
from bamboovale.entry.request_lifecycle import RequestLifecycle
from bamboovale.entry.service_calls import ServiceCalls
from bamboovale.environment import Environment
from bamboovale.views import Views


@dataclass(frozen=True)
class CallerAppDependencies:
    """The components that model requests and service calls depend on."""

    environment: Environment
    views: Views
    decisions: DecisionFacade
    permits: PermitClient
    connections: EndpointConnections
    disconnects: DisconnectWatcher
    lifecycle: RequestLifecycle
    crash_reporter: CrashReporter


def build_caller_app(parts: CallerAppDependencies) -> CallerApp:
    """Return the WSGI application for the callers' port."""
    runs = ModelRuns(
        parts.environment,
        parts.views,
        parts.decisions,
        parts.permits,
        parts.connections,
    )
    models = ModelRequests(
        parts.environment,
        parts.views,
        parts.decisions,
        parts.permits,
        runs,
        parts.disconnects,
        parts.lifecycle,
        parts.crash_reporter,
    )
    services = ServiceCalls(
        parts.environment,
        parts.views,
        parts.decisions,
        parts.connections,
        parts.disconnects,
        parts.lifecycle,
    )
    return CallerApp(parts.environment, parts.views, models, services)
