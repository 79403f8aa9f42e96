//! Plots of reports, as SVG: service, load by server, and what became of the rest, over time. More reports are
//! drawn over each other.

use crate::series::Series;
use fernspan_model::callers::{FATES, Fate};
use fernspan_model::report::{Sample, worth};
use plotters::prelude::*;
use std::collections::BTreeMap;
use std::path::Path;

/// Width and height of a plot, in pixels.
const SIZE: (u32, u32) = (960, 1200);

type Line = (String, Vec<(f64, f64)>);

/// Draws reports, each under a name.
///
/// # Errors
/// A file that cannot be written, in words.
pub fn draw(to: &Path, reports: &[(String, Series)]) -> Result<(), String> {
    let fail = |e: DrawingAreaErrorKind<std::io::Error>| format!("{}: {e}", to.display());
    let root = SVGBackend::new(to, SIZE).into_drawing_area();
    root.fill(&WHITE).map_err(fail)?;
    let parts = root.split_evenly((4, 1));
    let service: Vec<Line> = reports.iter().map(|(n, s)| (n.clone(), by_second(s, worth))).collect();
    panel(&parts[0], "Service by second of the first try", 1.05, &service).map_err(fail)?;
    let load = match reports {
        // One run: each server by itself.
        [(_, series)] => by_server(series),
        _ => reports.iter().map(|(n, s)| (format!("{n}, highest"), highest(s))).collect(),
    };
    let top = load.iter().flat_map(|l| &l.1).map(|p| p.1).fold(1.0, f64::max);
    panel(&parts[1], "Set-ups over what a server could do, by second", top * 1.05, &load).map_err(fail)?;
    let mut rest = Vec::new();
    for (name, series) in reports {
        for fate in [Fate::Refused, Fate::Late, Fate::Cut, Fate::GaveUp, Fate::Failed, Fate::Lost] {
            let line = by_second(series, |f| f64::from(u8::from(f == fate)));
            if line.iter().any(|p| p.1 > 0.0) {
                let label = match reports.len() {
                    1 => fate.name().to_owned(),
                    _ => format!("{name}, {}", fate.name()),
                };
                rest.push((label, line));
            }
        }
    }
    let top = rest.iter().flat_map(|l| &l.1).map(|p| p.1).fold(0.05, f64::max);
    panel(&parts[2], "Share of callers who did not stand in time", top * 1.05, &rest).map_err(fail)?;
    let mut causes = Vec::new();
    for (name, series) in reports {
        for (cause, line) in refused(series) {
            if line.iter().any(|p| p.1 > 0.0) {
                let label = if reports.len() == 1 { cause.to_owned() } else { format!("{name}, {cause}") };
                causes.push((label, line));
            }
        }
    }
    let top = causes.iter().flat_map(|l| &l.1).map(|p| p.1).fold(1.0, f64::max);
    panel(&parts[3], "Set-ups that servers refused, by second and cause", top * 1.05, &causes)
        .map_err(fail)?;
    root.present().map_err(fail)
}

/// Set-ups that servers refused, by second, for each cause.
fn refused(series: &Series) -> [(&'static str, Vec<(f64, f64)>); 3] {
    let line = |of: fn(&Sample) -> u64| {
        let mut seconds: BTreeMap<u64, u64> = BTreeMap::new();
        series.samples.iter().for_each(|s| *seconds.entry(s.at / 1_000_000).or_default() += of(s));
        seconds.into_iter().map(|(s, n)| (s as f64 + 0.5, n as f64)).collect()
    };
    [
        ("throttled", line(|s| s.did.throttled)),
        ("congestion", line(|s| s.did.congestion)),
        ("error", line(|s| s.did.errors)),
    ]
}

fn panel<DB: DrawingBackend>(
    area: &DrawingArea<DB, plotters::coord::Shift>,
    title: &str,
    top: f64,
    lines: &[Line],
) -> Result<(), DrawingAreaErrorKind<DB::ErrorType>> {
    let until = lines.iter().flat_map(|l| &l.1).map(|p| p.0).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..until, 0.0..top)?;
    chart.configure_mesh().light_line_style(WHITE).x_labels(12).y_labels(6).x_desc("s").draw()?;
    for (i, (name, line)) in lines.iter().enumerate() {
        let color = Palette99::pick(i).to_rgba();
        chart
            .draw_series(LineSeries::new(line.iter().copied(), color.stroke_width(1)))?
            .label(name.clone())
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 14, y)], color));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperRight)
        .background_style(WHITE.mix(0.8))
        .label_font(("sans-serif", 11))
        .draw()?;
    Ok(())
}

/// A mean over the callers of each second.
fn by_second(series: &Series, of: impl Fn(Fate) -> f64) -> Vec<(f64, f64)> {
    let mean = |counts: &[u32; FATES.len()]| {
        let all: u32 = counts.iter().sum();
        let sum: f64 = FATES.iter().zip(counts).map(|(f, n)| of(*f) * f64::from(*n)).sum();
        (all > 0).then(|| sum / f64::from(all))
    };
    let seconds = series.seconds.iter().enumerate();
    seconds.filter_map(|(s, counts)| Some((s as f64 + 0.5, mean(counts)?))).collect()
}

/// Load of each server by second.
fn by_server(series: &Series) -> Vec<Line> {
    let servers = series.samples.iter().map(|s| s.server + 1).max().unwrap_or(0);
    let line = |server: usize| {
        let own: Vec<_> = series.samples.iter().filter(|s| s.server == server).collect();
        let load = own.chunks_exact(10).filter_map(|c| {
            let capacity: f64 = c.iter().map(|s| s.capacity * 0.1).sum();
            let setups: u64 = c.iter().map(|s| s.did.setups).sum();
            (capacity > 0.0).then(|| (c[9].at as f64 / 1e6, setups as f64 / capacity))
        });
        (format!("s{server}"), load.collect())
    };
    (0..servers).map(line).collect()
}

/// The highest load of any server by second.
fn highest(series: &Series) -> Vec<(f64, f64)> {
    let mut seconds: Vec<f64> = Vec::new();
    for (_, line) in by_server(series) {
        for (at, load) in line {
            let second = at as usize;
            if seconds.len() <= second {
                seconds.resize(second + 1, 0.0);
            }
            seconds[second] = seconds[second].max(load);
        }
    }
    seconds.into_iter().enumerate().map(|(s, load)| (s as f64 + 0.5, load)).collect()
}
