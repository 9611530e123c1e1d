"""Plots of a run and of a sweep, as PNG or SVG."""

import math
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")

from hdrh.histogram import HdrHistogram
from matplotlib import pyplot as plt

from pewterring.lab import schema
from pewterring.lab.account import Result

INK, GOOD, LATE, BAD, QUOTA, SOFT = "#333333", "#2a7f62", "#d9a441", "#b3423a", "#3b6ea5", "#9aa5b1"
FORMS = {".png", ".svg"}


def form_of(path: str | Path) -> Path:
    path = Path(path)
    if path.suffix not in FORMS:
        raise schema.ScenarioError(f"{path}: a plot is written as {' or '.join(sorted(FORMS))}")
    return path


def plot_run(result: Result, path: str | Path, faults: Sequence[schema.Fault] = ()) -> None:
    """Six panels: service, latencies, attempts against the ceiling, the latencies' tail, use, refusals."""
    path = form_of(path)
    figure, panels = plt.subplots(3, 2, figsize=(13, 11), layout="constrained")
    how = "measured on loopback" if result.policy == "loopback" else "emulated"
    where = f"seed {result.seed}, {result.gatekeepers} gatekeepers, {result.workers} workers; {how}"
    figure.suptitle(
        f"{result.scenario}, {result.policy}: G {result.g:.3f}, served {result.served:.3f} ({where})"
    )
    seconds = result.seconds[: max(1, math.ceil(result.duration_s))]
    times = [n + 0.5 for n in range(len(seconds))]
    service(panels[0][0], seconds, times)
    latencies(panels[0][1], seconds, times)
    ceiling(panels[1][0], seconds, times)
    tail(panels[1][1], result)
    use(panels[2][0], result)
    refusals(panels[2][1], result)
    for panel in (panels[0][0], panels[0][1], panels[1][0]):
        panel.set_xlabel("seconds into the run")
        panel.set_xlim(0, result.duration_s)
        for fault in faults:
            panel.axvspan(fault.at_s, fault.at_s + fault.for_s, color=BAD, alpha=0.08, lw=0)
    for panel in panels.flat:
        panel.spines[["top", "right"]].set_visible(False)
    figure.savefig(path, dpi=110)
    plt.close(figure)


def service(panel: Any, seconds: Sequence[Any], times: Sequence[float]) -> None:
    panel.set_title("Client requests a second")
    panel.plot(times, [s.asked for s in seconds], color=INK, lw=1, label="asked for the first time")
    panel.plot(times, [s.served for s in seconds], color=GOOD, label="served in time")
    panel.plot(times, [s.late for s in seconds], color=LATE, label="served late")
    panel.plot(times, [s.refused for s in seconds], color=QUOTA, lw=1, label="tries refused")
    panel.plot(times, [s.failed for s in seconds], color=BAD, lw=1, label="tries failed")
    panel.set_ylim(bottom=0)
    panel.legend(fontsize=8)


def latencies(panel: Any, seconds: Sequence[Any], times: Sequence[float]) -> None:
    panel.set_title("Latency of answers, from the first asking (s)")
    panel.plot(times, [s.p50 for s in seconds], color=GOOD, label="p50 of the second")
    panel.plot(times, [s.p99 for s in seconds], color=BAD, label="p99 of the second")
    panel.set_ylim(bottom=0)
    panel.legend(fontsize=8)


def ceiling(panel: Any, seconds: Sequence[Any], times: Sequence[float]) -> None:
    panel.set_title("Attempts out against the ceiling")
    panel.plot(times, [s.out for s in seconds], color=INK, label="attempts out")
    if any(s.ceiling for s in seconds):
        panel.plot(times, [s.ceiling for s in seconds], color=BAD, label="ceiling (middle gatekeeper's)")
        panel.plot(times, [s.shares for s in seconds], color=SOFT, lw=1, label="sum of the shares")
    panel.set_ylim(bottom=0)
    panel.legend(fontsize=8)


def tail(panel: Any, result: Result) -> None:
    """The latency at each percentile, spread so that each nine has the same width."""
    panel.set_title("Latency at each percentile (s)")
    hist = HdrHistogram.decode(result.hdr.encode())
    if not hist.get_total_count():
        return
    marks = (50.0, 90.0, 99.0, 99.9, 99.99)
    points = [100 - 10 ** (2 - n / 25) for n in range(1, 101)]
    panel.plot(
        [2 - math.log10(100 - p) for p in points],
        [hist.get_value_at_percentile(p) / 1e6 for p in points],
        color=INK,
    )
    panel.set_xticks([2 - math.log10(100 - p) for p in marks], [f"p{p:g}" for p in marks])
    panel.set_ylim(bottom=0)
    for name in ("p50", "p99", "p999"):
        panel.axhline(result.latency[name], color=SOFT, lw=0.6)


def use(panel: Any, result: Result) -> None:
    panel.set_title("Units sent on, by plan")
    plans = list(result.sent_units)
    panel.bar(
        plans,
        [result.sent_units[p] - result.beyond_units[p] for p in plans],
        color=QUOTA,
        label="within quota",
    )
    bottom = [result.sent_units[p] - result.beyond_units[p] for p in plans]
    beyond = [result.beyond_units[p] for p in plans]
    panel.bar(plans, beyond, bottom=bottom, color=BAD, label="beyond quota")
    for n, plan in enumerate(plans):
        share = result.beyond_units[plan] / max(1e-9, result.sent_units[plan])
        panel.annotate(f"{share:.1%}", (n, result.sent_units[plan]), ha="center", va="bottom", fontsize=8)
    panel.legend(fontsize=8)


def refusals(panel: Any, result: Result) -> None:
    panel.set_title("Tries refused, by reason")
    reasons = list(result.refused)
    room = [result.refused_with_room[r] for r in reasons]
    panel.bar(
        reasons,
        [result.refused[r] - n for r, n in zip(reasons, room, strict=True)],
        color=SOFT,
        label="quota used",
    )
    bottom = [result.refused[r] - n for r, n in zip(reasons, room, strict=True)]
    panel.bar(reasons, room, bottom=bottom, color=LATE, label="half of the burst unused")
    panel.legend(fontsize=8)


def plot_sweep(entries: Sequence[dict[str, Any]], x: str, metric: str, path: str | Path) -> None:
    """A metric against one axis of a sweep: the mean over seeds with its spread, one line for each other
    setting."""
    path = form_of(path)
    axes = list(entries[0]["set"]) if entries else []
    if x not in axes:
        raise schema.ScenarioError(
            f"--x {x}: not an axis of the sweep; there are {', '.join(axes) or 'none'}"
        )
    if metric not in entries[0]["metrics"]:
        raise schema.ScenarioError(
            f"--y {metric}: not a metric; there are {', '.join(entries[0]['metrics'])}"
        )
    lines: dict[str, dict[str, list[float]]] = {}
    for e in entries:
        label = ", ".join(f"{k}={v}" for k, v in e["set"].items() if k != x)
        lines.setdefault(label, {}).setdefault(e["set"][x], []).append(e["metrics"][metric])
    figure, panel = plt.subplots(figsize=(8, 5), layout="constrained")
    for label, values in lines.items():
        names = list(values)
        numeric = all(is_number(n) for n in names)
        places = [float(n) for n in names] if numeric else list(range(len(names)))
        order = sorted(range(len(names)), key=lambda n: places[n])
        means = [sum(values[names[n]]) / len(values[names[n]]) for n in order]
        spread = [[m - min(values[names[n]]) for m, n in zip(means, order, strict=True)],
                  [max(values[names[n]]) - m for m, n in zip(means, order, strict=True)]]  # fmt: skip
        panel.errorbar(
            [places[n] for n in order], means, yerr=spread, marker="o", capsize=3, label=label or metric
        )
        if not numeric:
            panel.set_xticks(places, names)
    panel.set(
        xlabel=x, ylabel=metric, title=f"{metric} against {x} (mean, least and most over seeds; emulated)"
    )
    panel.spines[["top", "right"]].set_visible(False)
    panel.legend(fontsize=8)
    figure.savefig(path, dpi=110)
    plt.close(figure)


def plot_counts(moments: Mapping[str, Sequence[float]], path: str | Path) -> None:
    """Bars of how many things of each name happened in each second; moments are in seconds."""
    path = form_of(path)
    first = math.floor(min((min(each) for each in moments.values() if each), default=0.0))
    last = math.ceil(max((max(each) for each in moments.values() if each), default=1.0))
    figure, panel = plt.subplots(figsize=(10, 5), layout="constrained")
    seconds = range(max(1, last - first) + 1)
    values = [[moment - first for moment in each] for each in moments.values()]
    panel.hist(values, bins=list(seconds), stacked=True, label=list(moments))
    panel.set(xlabel="seconds since the first", ylabel="requests a second, by arrival")
    panel.spines[["top", "right"]].set_visible(False)
    panel.legend(fontsize=8)
    figure.savefig(path, dpi=110)
    plt.close(figure)


def is_number(text: str) -> bool:
    try:
        float(text)
    except ValueError:
        return False
    return True
