"""The documented list of metrics, and the Prometheus endpoint."""

from __future__ import annotations

import ast
import gc
import pathlib
import re

import aiohttp
from opentelemetry import metrics as api
from opentelemetry.sdk import metrics as sdk_metrics
import prometheus_client

import jujubewharf
from jujubewharf.connections import table
from jujubewharf.settings import models
from jujubewharf.telemetry import metrics

ROOT = pathlib.Path(jujubewharf.__file__).parent
PAGE = ROOT.parents[1] / "docs" / "operating" / "metrics.md"
CREATE = re.compile(r"create_(observable_)?(counter|up_down|gauge|histogram)")


def _made_in(path: pathlib.Path) -> set[str]:
    names: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.Call):
            continue
        made_by = getattr(node.func, "attr", "")
        if CREATE.match(made_by):
            name = node.args[0]
            assert isinstance(name, ast.Constant), f"{path}: not a literal"
            names.add(name.value)
    return names


def test_the_page_lists_every_instrument_and_no_other():
    # Garbage collection of event loops of earlier tests while parsing can
    # raise a SystemError ("recursion depth mismatch").
    gc.collect()
    gc.disable()
    try:
        made = set().union(*(_made_in(path) for path in ROOT.rglob("*.py")))
    finally:
        gc.enable()
    listed = set(re.findall(r"^\| `([a-z_.]+)` \|", PAGE.read_text(), re.M))
    assert listed == made


async def test_prometheus_endpoint_exposes_counters():
    registry = prometheus_client.CollectorRegistry()
    reader = metrics._prometheus_reader(registry)
    provider = sdk_metrics.MeterProvider(metric_readers=[reader])
    counter = provider.get_meter("jujubewharf").create_counter("callers.x")
    counter.add(3, {"reason": "rate_limited"})
    settings = models.TelemetrySettings(metrics_port=0)
    edge = metrics.MetricsEdge(settings, registry, table.Connections())
    await edge.start()
    try:
        url = f"http://127.0.0.1:{edge.port}/metrics"
        async with aiohttp.ClientSession() as session:
            async with session.get(url) as answer:
                text = await answer.text()
    finally:
        await edge.stop()
        provider.shutdown()
    assert 'jujubewharf_callers_x_total{reason="rate_limited"} 3.0' in text


def test_metrics_are_off_by_default():
    before = api.get_meter_provider()
    identity = metrics.Identity("e1", "r", "d")
    assert metrics.configure(models.TelemetrySettings(), identity) is None
    assert api.get_meter_provider() is before
