"""The figures of one program as Prometheus text, written by `prometheus-client`.

Owns the names of the metrics. It must never be imported at a program's start: the library costs a killed
limiter time that it needs to serve.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, HistogramMetricFamily
from prometheus_client.metrics_core import Metric

from finchshelf import invariants
from finchshelf.metrics.figures import Figures

PREFIX = "finchshelf"


class Collector:
    """Turns `Figures` into metric families each time that they are fetched."""

    def __init__(self, figures: Figures) -> None:
        self.figures = figures

    def collect(self) -> Iterator[Metric]:
        yield from (self.events(), self.violations(), self.looks(), self.gauges())
        yield from self.histograms()

    def events(self) -> CounterMetricFamily:
        family = CounterMetricFamily(f"{PREFIX}_events", "What happened, by counter.", labels=["event"])
        for name, number in sorted(self.figures.telemetry.count.items()):
            family.add_metric([name], number)
        return family

    def violations(self) -> CounterMetricFamily:
        """Each invariant has a row, also while it was never violated: an alert needs the 0."""
        family = CounterMetricFamily(
            f"{PREFIX}_invariant_violations", "Violations of invariants.", labels=["invariant"]
        )
        found = self.figures.telemetry.monitor.violations
        for name in sorted({one.name for one in invariants.CATALOGUE} | found.keys()):
            family.add_metric([name], found[name])
        return family

    def looks(self) -> CounterMetricFamily:
        """A check that is never reached proves nothing."""
        family = CounterMetricFamily(
            f"{PREFIX}_invariant_looks", "How often each invariant was looked at.", labels=["invariant"]
        )
        for invariant in invariants.CATALOGUE:
            family.add_metric([invariant.name], self.figures.telemetry.monitor.looks[invariant.name])
        return family

    def gauges(self) -> GaugeMetricFamily:
        family = GaugeMetricFamily(f"{PREFIX}_state", "Present values.", labels=["name"])
        for name, value in sorted(self.figures.gauges().items()):
            family.add_metric([name], value)
        return family

    def histograms(self) -> Iterable[Metric]:
        by_name: dict[str, HistogramMetricFamily] = {}
        for (name, label), histogram in sorted(self.figures.telemetry.durations.items()):
            family = by_name.setdefault(
                name,
                HistogramMetricFamily(
                    f"{PREFIX}_{name}_seconds",
                    f"Seconds of each {name.replace('_', ' ')}, by how it ended.",
                    labels=["ended"],
                ),
            )
            family.add_metric([label], buckets=histogram.cumulative(), sum_value=histogram.total)
        return by_name.values()


def text(figures: Figures) -> bytes:
    """All figures in the text format."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(Collector(figures))
    return bytes(generate_latest(registry))
