"""Sets up OpenTelemetry with a Prometheus endpoint and OTLP export.

Instruments are created in the modules that use them, on the meter
``jujubewharf``; ``docs/operating/metrics.md`` lists them all. Until
``configure`` is called they record nothing.
"""

from __future__ import annotations

import asyncio
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

from jujubewharf.connections import bounded_server
from jujubewharf.connections import listening
from jujubewharf.connections import table
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
        connections: All connections that clients have open.

    Attributes:
        port: The port it listens on, once started.
    """

    def __init__(
        self,
        settings: models.TelemetrySettings,
        registry: prometheus_client.CollectorRegistry,
        connections: table.Connections,
    ) -> None:
        super().__init__()
        self._listener: asyncio.Server | None = None
        self.port = settings.metrics_port or 0
        self._host = settings.metrics_host
        self._registry = registry
        app = web.Application()
        app.router.add_get("/metrics", self._metrics)
        self._runner = bounded_server.BoundedRunner(
            app,
            bounded_server.Room.of(connections, table.Kind.METRICS),
            bounded_server.ConnectionLimits(),
            access_log=None,
            lingering_time=0.0,
        )

    async def on_start(self) -> None:
        """Starts listening."""
        await self._runner.setup()
        assert self._runner.server is not None
        self._listener = await listening.listen(
            self._runner.server, self._host, self.port
        )
        self.port = self._listener.sockets[0].getsockname()[1]

    async def on_stop(self) -> None:
        """Stops listening."""
        if self._listener is not None:
            self._listener.close()
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
    telemetry: models.TelemetrySettings,
    identity: Identity,
    connections: table.Connections | None = None,
) -> MetricsEdge | None:
    """Sets the process's meter provider; called once, before the start.

    Args:
        telemetry: Settings of the export.
        identity: Identity of the instance.
        connections: All connections that clients have open; ``None`` where
            there are no others.

    Returns:
        The Prometheus endpoint, if the settings enable it.
    """
    readers: list[export.MetricReader] = []
    edge: MetricsEdge | None = None
    if telemetry.metrics_port is not None:
        registry = prometheus_client.CollectorRegistry()
        readers.append(_prometheus_reader(registry))
        edge = MetricsEdge(
            telemetry, registry, connections or table.Connections()
        )
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
