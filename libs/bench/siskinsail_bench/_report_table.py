"""Figures of a report, rendered as Markdown tables and text charts."""

from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from typing import Any

from hdrh.histogram import HdrHistogram

CHART_WIDTH_CHARS = 50
# Histograms cover 1 microsecond to 100 seconds with 3 significant digits.
_LOWEST_US, _HIGHEST_US, _SIGNIFICANT_DIGITS = 1, 100_000_000, 3


@dataclass(frozen=True)
class Figure:
    """One measured figure.

    Parameters
    ----------
    text : str
        Value with its unit.
    target : str
        Target of the design; empty if the design sets none.
    is_reached : bool or None
        Whether the target is reached; None without a target.
    """

    name: str
    text: str
    target: str = ''
    is_reached: bool | None = None


@dataclass(frozen=True)
class Measurement:
    """Figures of one measurement and the series that its chart shows.

    Parameters
    ----------
    unit : str
        Unit of the series.
    """

    title: str
    figures: list[Figure]
    series: dict[str, list[float]] = field(default_factory=dict)
    unit: str = ''


def new_latency_histogram() -> Any:
    """Return an empty histogram of latencies in microseconds."""
    return HdrHistogram(_LOWEST_US, _HIGHEST_US, _SIGNIFICANT_DIGITS)


def quantile_ms(histogram: Any, percent: float) -> float:
    """Return a percentile in milliseconds of a histogram in microseconds."""
    return float(histogram.get_value_at_percentile(percent)) / 1000


def table(head: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Return a Markdown table."""
    lines = [head, ['---'] * len(head), *rows]
    return '\n'.join(f'| {" | ".join(line)} |' for line in lines)


def chart(measurement: Measurement) -> str:
    """Return a text bar chart of the series of a measurement."""
    maximum = max(
        max(values, default=0) for values in measurement.series.values()
    )
    lines = []
    for name, values in measurement.series.items():
        lines.append(f'{name} ({measurement.unit})')
        for number, value in enumerate(values, 1):
            width = (
                round(CHART_WIDTH_CHARS * value / maximum) if maximum else 0
            )
            lines.append(f'{number:4}  {"#" * width} {value:.4g}')
    return '\n'.join(lines)


def compare(measured: list[Measurement], baseline: list[Measurement]) -> str:
    """Return a Markdown report of a run next to its baseline."""
    baseline_by_title = {
        measurement.title: measurement for measurement in baseline
    }
    parts = []
    for measurement in measured:
        counterpart = baseline_by_title.get(
            measurement.title, Measurement(measurement.title, [])
        )
        baseline_texts = {
            figure.name: figure.text for figure in counterpart.figures
        }
        rows = [
            [
                figure.name,
                figure.text,
                baseline_texts.get(figure.name, 'not measured'),
                figure.target,
                _reached_text(figure),
            ]
            for figure in measurement.figures
        ]
        head = ['figure', 'siskinsail', 'baseline', 'target', 'reached']
        parts.append(f'### {measurement.title}\n\n{table(head, rows)}\n')
        for label, charted in (
            ('siskinsail', measurement),
            ('baseline', counterpart),
        ):
            if charted.series:
                parts.append(f'```\n{label}\n{chart(charted)}\n```\n')
    return '\n'.join(parts)


def _reached_text(figure: Figure) -> str:
    return {None: '', True: 'yes', False: 'NO'}[figure.is_reached]
