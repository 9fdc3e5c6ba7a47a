"""Sets up OpenTelemetry: the Prometheus endpoint and OTLP, by setting.

Instruments are made where they count, on the meter ``jujubewharf``; the list
of all is ``docs/operating/metrics.md``. Until ``configure`` runs they count
into nothing, so that library users and tests pay for none of it.
"""

from __future__ import annotations

import dataclasses

from aiohttp import web
import mode
from opentelemetry import metrics
from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics as sdk_metrics
from opentelemetry.sdk import resources as sdk_resources
from opentelemetry.sdk.metrics import export
import prometheus_client
from prometheus_client import exposition

from jujubewharf.settings import models
from jujubewharf.telemetry import tallies

PREFIX = "jujubewharf"


class MetricsEdge(mode.Service):
    """Serves ``GET /metrics`` on a port of its own.

    It is not on the caller edge: callers have no business with it, and a
    scrape should get through when the caller edge refuses everything.

    Args:
        settings: Where to listen.
        registry: What is told.

    Attributes:
        port: Port listened on, once started.
    """

    def __init__(
        self,
        settings: models.TelemetrySettings,
        registry: prometheus_client.CollectorRegistry,
    ) -> None:
        super().__init__()
        self.port = settings.metrics_port or 0
        self._host = settings.metrics_host
        self._registry = registry
        app = web.Application()
        app.router.add_get("/metrics", self._metrics)
        self._runner = web.AppRunner(app, access_log=None)

    async def on_start(self) -> None:
        """Starts listening."""
        await self._runner.setup()
        await web.TCPSite(self._runner, self._host, self.port).start()
        self.port = self._runner.addresses[0][1]

    async def on_stop(self) -> None:
        """Stops listening."""
        await self._runner.cleanup()

    async def _metrics(self, request: web.Request) -> web.Response:
        body = exposition.generate_latest(self._registry)
        headers = {"Content-Type": exposition.CONTENT_TYPE_LATEST}
        return web.Response(body=body, headers=headers)


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Who counts.

    Attributes:
        instance: Name of the instance.
        region: Its region.
        domain: Its failure domain.
    """

    instance: str
    region: str
    domain: str


def configure(
    telemetry: models.TelemetrySettings, identity: Identity
) -> MetricsEdge | None:
    """Makes the process's meter provider; called once, before the start.

    Returns:
        The Prometheus endpoint, where the settings ask for one.
    """
    readers: list[export.MetricReader] = []
    edge: MetricsEdge | None = None
    if telemetry.metrics_port is not None:
        registry = prometheus_client.CollectorRegistry()
        readers.append(_prometheus_reader(registry))
        edge = MetricsEdge(telemetry, registry)
    if telemetry.otlp_url is not None:
        readers.append(_otlp_reader(telemetry))
    if readers:
        readers.append(tallies.make_reader())
        metrics.set_meter_provider(_provider(identity, readers))
    return edge


def _prometheus_reader(
    registry: prometheus_client.CollectorRegistry,
) -> prometheus.PrometheusMetricReader:
    return prometheus.PrometheusMetricReader(
        prefix=PREFIX, scope_info_enabled=False, registry=registry
    )


def _otlp_reader(
    telemetry: models.TelemetrySettings,
) -> export.PeriodicExportingMetricReader:
    # Loaded only where it is asked for: it brings an HTTP client of its own.
    from opentelemetry.exporter.otlp.proto.http import metric_exporter

    exporter = metric_exporter.OTLPMetricExporter(endpoint=telemetry.otlp_url)
    return export.PeriodicExportingMetricReader(
        exporter, export_interval_millis=telemetry.otlp_interval_ms
    )


def _provider(
    identity: Identity, readers: list[export.MetricReader]
) -> sdk_metrics.MeterProvider:
    resource = sdk_resources.Resource.create(
        {
            "service.name": PREFIX,
            "service.instance.id": identity.instance,
            "cloud.region": identity.region,
            "cloud.availability_zone": identity.domain,
        }
    )
    return sdk_metrics.MeterProvider(
        metric_readers=readers,
        resource=resource,
        exemplar_filter=sdk_metrics.AlwaysOffExemplarFilter(),
    )
