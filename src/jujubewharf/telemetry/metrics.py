"""Sets up OpenTelemetry with a Prometheus endpoint and OTLP export.

Instruments are created in the modules that use them, on the meter
``jujubewharf``; ``docs/operating/metrics.md`` lists them all. Until
``configure`` is called they record nothing.
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
from jujubewharf.telemetry import counter_totals

PREFIX = "jujubewharf"


class MetricsEdge(mode.Service):
    """Serves ``GET /metrics`` on its own port.

    It is separate from the caller edge, so that callers can't read metrics and
    scrapes succeed while the caller edge refuses requests.

    Args:
        settings: Address to listen on.
        registry: Registry of the exposed metrics.

    Attributes:
        port: The port it listens on, once started.
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
    """Resource attributes of exported metrics.

    Attributes:
        instance: Name of the instance.
        region: Region of the instance.
        domain: Failure domain of the instance.
    """

    instance: str
    region: str
    domain: str


def configure(
    telemetry: models.TelemetrySettings, identity: Identity
) -> MetricsEdge | None:
    """Sets the process's meter provider; called once, before the start.

    Returns:
        The Prometheus endpoint, if the settings enable it.
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
        readers.append(counter_totals.make_reader())
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
    # Imported only if enabled, since it loads another HTTP client.
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
