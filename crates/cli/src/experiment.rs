//! `lynxstair experiment`: simulations on a virtual clock, reported as Markdown tables and SVG plots.

use std::path::{Path, PathBuf};

use anyhow::{Context, Result, anyhow};
use clap::Subcommand;
use lynxstair_emulator::core::{Scenario, SimulationResult, simulate};
use lynxstair_emulator::experiment::{
    FaultPattern, Safeguards, failure_detection_times, failures_with_single_link, false_failure_detections,
    traffic,
};
use lynxstair_emulator::owners::{TakeoverCause, idle_datagrams_per_second, takeover_time};
use plotters::prelude::*;
use rayon::prelude::*;

#[derive(clap::Args)]
pub struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Measures failure detection times, false detections and traffic of the membership protocol
    ///
    /// Prints tables in Markdown and writes plots. Uses all cores for some minutes, with --quick for some
    /// seconds.
    Membership {
        #[arg(long)]
        quick: bool,
        /// Directory for the plots
        #[arg(long, value_name = "DIR", default_value = "docs/plots")]
        out: PathBuf,
    },
    /// Simulates fault scenarios of controllers, proxies and workers, and checks what their clients observed
    ///
    /// Prints a table in Markdown, then the violations and event logs of up to three failed runs of each
    /// scenario. Exit code 1 if a run failed.
    Core {
        /// Total number of runs, divided among the scenarios
        #[arg(long, default_value_t = 1_000)]
        seeds: u64,
        /// First seed of each scenario
        #[arg(long, default_value_t = 0)]
        from: u64,
        /// Runs only the scenario of this name
        #[arg(long)]
        scenario: Option<String>,
    },
    /// Measures how long a duty has no owner after a fault, and the idle traffic of owners and voters
    ///
    /// Prints tables in Markdown. Fewer runs with --quick.
    Ownership {
        #[arg(long)]
        quick: bool,
    },
}

pub fn run(args: Args) -> Result<u8> {
    let (quick, out) = match args.command {
        Command::Membership { quick, out } => (quick, out),
        Command::Ownership { quick } => {
            report_ownership(quick);
            return Ok(0);
        }
        Command::Core { seeds, from, scenario } => return report_core(seeds, from, scenario.as_deref()),
    };
    std::fs::create_dir_all(&out).with_context(|| out.display().to_string())?;
    report_detection_times(quick, &out)?;
    report_detection_under_loss(quick)?;
    report_false_detections(quick, &out)?;
    report_traffic(quick, &out)?;
    report_single_link(quick);
    Ok(0)
}

/// Number of failed runs of each scenario whose event logs are printed.
const MAX_EVENT_LOGS: usize = 3;

fn report_core(seeds: u64, from: u64, only: Option<&str>) -> Result<u8> {
    let scenarios: Vec<Scenario> =
        Scenario::ALL.into_iter().filter(|s| only.is_none_or(|name| s.name() == name)).collect();
    if scenarios.is_empty() {
        return Err(anyhow!("unknown scenario: {}", only.unwrap_or_default()));
    }
    let runs = seeds.div_ceil(scenarios.len() as u64);
    println!("| story | seeds | broken | changes acknowledged | orders and reads sent | hours there |");
    println!("| --- | --- | --- | --- | --- | --- |");
    let mut event_logs = Vec::new();
    for scenario in scenarios {
        let results: Vec<(u64, SimulationResult)> =
            (from..from + runs).into_par_iter().map(|seed| (seed, simulate(scenario, seed, None))).collect();
        let sum = |value: fn(&SimulationResult) -> f64| results.iter().map(|(_, r)| value(r)).sum::<f64>();
        let failed: Vec<_> = results.iter().filter(|(_, r)| !r.violations.is_empty()).collect();
        println!(
            "| {} | {runs} | {} | {:.0} | {:.0} | {:.1} |",
            scenario.name(),
            failed.len(),
            sum(|r| r.acknowledged as f64),
            sum(|r| r.call_count as f64),
            sum(|r| r.duration.secs() / 3_600.0)
        );
        for (seed, result) in failed.into_iter().take(MAX_EVENT_LOGS) {
            event_logs.push(format!(
                "\n{} {seed}: {:#?}\n{}",
                scenario.name(),
                result.violations,
                result.event_log.join("\n")
            ));
        }
    }
    event_logs.iter().for_each(|log| println!("{log}"));
    Ok(u8::from(!event_logs.is_empty()))
}

fn report_ownership(quick: bool) {
    let seeds = if quick { 40 } else { 1_000 };
    println!(
        "\n| members | what happens to the owner | runs | median | 99 of 100 | worst | none within 20 s |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    let causes = [
        (TakeoverCause::Kill, "killed"),
        (TakeoverCause::KillLeader, "killed, and it leads the voters"),
        (TakeoverCause::Pause, "paused"),
        (TakeoverCause::Isolate, "cut off"),
        (TakeoverCause::HandOver, "told to hand over"),
    ];
    for members in [5, 40] {
        for (cause, label) in causes {
            let results: Vec<Option<f64>> =
                (1..=seeds).into_par_iter().map(|s| takeover_time(members, cause, s)).collect();
            let mut times_s: Vec<f64> = results.iter().flatten().copied().collect();
            times_s.sort_by(f64::total_cmp);
            let [median, p99, worst] = [0.5, 0.99, 1.0].map(|share| quantile(&times_s, share));
            let timed_out = results.len() - times_s.len();
            println!(
                "| {members} | {label} | {} | {median:.2} s | {p99:.2} s | {worst:.2} s | {timed_out} |",
                results.len()
            );
        }
    }
    println!("\n| members | datagrams a second, of all together, at rest |\n| --- | --- |");
    for members in [5, 40] {
        println!("| {members} | {:.0} |", idle_datagrams_per_second(members, 1));
    }
}

/// Returns the smallest value that at least this share of the values doesn't exceed; NaN without values.
fn quantile(sorted: &[f64], share: f64) -> f64 {
    let rank = (sorted.len() as f64 * share).ceil() as usize;
    sorted.get(rank.saturating_sub(1)).copied().unwrap_or(f64::NAN)
}

/// Statistics of failure detection times, in seconds.
struct DetectionStats {
    failure_count: usize,
    /// Median time until the first member detected the failure.
    first_median_s: f64,
    /// Median time until all members detected the failure.
    median_s: f64,
    /// 99th percentile of the time until all members detected the failure.
    p99_s: f64,
    /// Longest time until all members detected the failure.
    worst_s: f64,
}

fn detection_stats(members: usize, kills: usize, seeds: u64, loss_share: f64) -> DetectionStats {
    let detections: Vec<_> = (1..=seeds)
        .into_par_iter()
        .flat_map_iter(|s| failure_detection_times(members, kills, loss_share, s))
        .collect();
    let sorted = |value: fn(&lynxstair_emulator::experiment::DetectionTimes) -> f64| {
        let mut values: Vec<f64> = detections.iter().map(value).collect();
        values.sort_by(f64::total_cmp);
        values
    };
    let (first, all) = (sorted(|d| d.first_s), sorted(|d| d.all_s));
    DetectionStats {
        failure_count: detections.len(),
        first_median_s: quantile(&first, 0.5),
        median_s: quantile(&all, 0.5),
        p99_s: quantile(&all, 0.99),
        worst_s: all.last().copied().unwrap_or(f64::NAN),
    }
}

const DETECTION_COLUMNS: &str = "deaths | first to know, median | known to all, median | 99 of 100 | worst |";

fn print_detection_row(label: &str, stats: &DetectionStats) {
    println!(
        "| {label} | {} | {:.2} s | {:.2} s | {:.2} s | {:.2} s |",
        stats.failure_count, stats.first_median_s, stats.median_s, stats.p99_s, stats.worst_s
    );
}

fn report_detection_times(quick: bool, out: &Path) -> Result<()> {
    // Members, kills in each run, runs.
    let sizes: &[(usize, usize, u64)] = if quick {
        &[(10, 4, 12), (100, 4, 6)]
    } else {
        &[(10, 4, 120), (100, 20, 12), (1_000, 10, 6), (3_000, 1, 3)]
    };
    println!("\n| members | {DETECTION_COLUMNS}\n| --- | --- | --- | --- | --- | --- |");
    let mut points = Vec::new();
    for &(members, kills, seeds) in sizes {
        let stats = detection_stats(members, kills, seeds, 0.0);
        print_detection_row(&members.to_string(), &stats);
        points.push((members as f64, stats.median_s, stats.p99_s));
    }
    let line =
        |value: fn(&(f64, f64, f64)) -> f64| points.iter().map(|p| (p.0, value(p))).collect::<Vec<_>>();
    plot_lines(
        &out.join("membership-detection.svg"),
        "Time until all members detect a failure (simulated)",
        ("members", "seconds"),
        &[("median", line(|p| p.1)), ("99 of 100", line(|p| p.2))],
    )
}

fn report_detection_under_loss(quick: bool) -> Result<()> {
    let (kills, seeds) = if quick { (4, 6) } else { (20, 12) };
    println!("\n| lost, 100 members | {DETECTION_COLUMNS}\n| --- | --- | --- | --- | --- | --- |");
    for loss_share in [0.0, 0.05, 0.2, 0.4] {
        print_detection_row(
            &format!("{}%", (loss_share * 100.0) as u32),
            &detection_stats(100, kills, seeds, loss_share),
        );
    }
    Ok(())
}

/// Returns the mean and half the width of its 95% confidence interval.
fn mean_with_interval(values: &[f64]) -> (f64, f64) {
    let n = values.len() as f64;
    let mean = values.iter().sum::<f64>() / n;
    let variance = values.iter().map(|x| (x - mean).powi(2)).sum::<f64>() / (n - 1.0).max(1.0);
    (mean, 1.96 * (variance / n).sqrt())
}

fn report_false_detections(quick: bool, out: &Path) -> Result<()> {
    let (members, minutes, seeds) = if quick { (20, 1, 4) } else { (40, 5, 8) };
    let patterns = [
        ("nothing lost", FaultPattern::Loss(0.0)),
        ("5% lost", FaultPattern::Loss(0.05)),
        ("20% lost", FaultPattern::Loss(0.2)),
        ("40% lost", FaultPattern::Loss(0.4)),
        ("1% paused", FaultPattern::Pauses),
        ("2% of links cut one way", FaultPattern::OneWayCuts(0.02)),
        ("10% of links cut one way", FaultPattern::OneWayCuts(0.1)),
    ];
    let cases: Vec<_> = (0..patterns.len()).flat_map(|p| (1..=seeds).map(move |s| (p, s))).collect();
    let rate = |(detections, hours): (usize, f64)| detections as f64 / hours * 1_000.0;
    let rates: Vec<_> = cases
        .par_iter()
        .map(|&(p, s)| {
            let rate_with =
                |safeguards| rate(false_failure_detections(members, patterns[p].1, safeguards, minutes, s));
            (p, rate_with(Safeguards::Enabled), rate_with(Safeguards::Disabled))
        })
        .collect();
    let hours = members as f64 * minutes as f64 / 60.0 * seeds as f64;
    println!(
        "\nFalse failure detections in 1,000 member-hours; {members} members, {hours:.0} member-hours each,"
    );
    println!("means with 95% confidence intervals; differences are of runs with the same seed.\n");
    println!("| | with | without | difference |\n| --- | --- | --- | --- |");
    let (mut with, mut without) = (Vec::new(), Vec::new());
    for (p, (name, _)) in patterns.iter().enumerate() {
        let mean_of = |value: fn(&(usize, f64, f64)) -> f64| {
            mean_with_interval(&rates.iter().filter(|r| r.0 == p).map(value).collect::<Vec<_>>())
        };
        let (a, b, d) = (mean_of(|r| r.1), mean_of(|r| r.2), mean_of(|r| r.2 - r.1));
        println!("| {name} | {:.0} ± {:.0} | {:.0} ± {:.0} | {:.0} ± {:.0} |", a.0, a.1, b.0, b.1, d.0, d.1);
        with.push((p as f64, a.0 + 1.0));
        without.push((p as f64, b.0 + 1.0));
    }
    plot_bars(&out.join("membership-wrong.svg"), &patterns.map(|(n, _)| n), &with, &without)
}

fn report_traffic(quick: bool, out: &Path) -> Result<()> {
    let sizes: &[usize] = if quick { &[10, 100] } else { &[10, 30, 100, 300, 1_000, 3_000] };
    let results: Vec<_> = sizes.par_iter().map(|n| (*n, traffic(*n, 1))).collect();
    println!(
        "\n| members | bytes a second a member | datagrams a second a member | largest datagram while some die |"
    );
    println!("| --- | --- | --- | --- |");
    for (members, (bytes, datagrams, largest)) in &results {
        println!("| {members} | {bytes:.0} | {datagrams:.1} | {largest} bytes |");
    }
    let line = results.iter().map(|(n, t)| (*n as f64, t.0)).collect();
    plot_lines(
        &out.join("membership-bytes.svg"),
        "Bytes per second and member of an idle fleet (simulated)",
        ("members", "bytes per second"),
        &[("sent", line)],
    )
}

fn report_single_link(quick: bool) {
    let (sizes, seeds): (&[usize], u64) = if quick { (&[6, 10], 20) } else { (&[6, 8, 10, 20, 40], 200) };
    println!("\n| heard by one only, of | declared failed | declared others failed |\n| --- | --- | --- |");
    for &members in sizes {
        let results: Vec<_> =
            (1..=seeds).into_par_iter().map(|s| failures_with_single_link(members, s)).collect();
        let declared_failed = results.iter().filter(|r| r.0).count();
        let declared_others = results.iter().filter(|r| r.1).count();
        println!("| {members} | {declared_failed} of {seeds} runs | {declared_others} of {seeds} runs |");
    }
}

type Lines<'a> = [(&'a str, Vec<(f64, f64)>)];

fn plot_error<E: std::error::Error>(file: &Path) -> impl Fn(E) -> anyhow::Error + '_ {
    move |e| anyhow!("{}: {e}", file.display())
}

/// Plots lines over the number of members, on a logarithmic axis.
fn plot_lines(file: &Path, title: &str, (x, y): (&str, &str), lines: &Lines<'_>) -> Result<()> {
    let e = || plot_error(file);
    let points = || lines.iter().flat_map(|(_, p)| p.iter());
    let (low, high) = points().fold((f64::MAX, 1.0f64), |(l, h), p| (l.min(p.0), h.max(p.0)));
    let top = points().fold(0.0f64, |t, p| t.max(p.1)) * 1.15;
    let root = SVGBackend::new(file, (720, 400)).into_drawing_area();
    root.fill(&WHITE).map_err(e())?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(56)
        .build_cartesian_2d((low * 0.9..high * 1.1).log_scale(), 0.0..top)
        .map_err(e())?;
    chart.configure_mesh().x_desc(x).y_desc(y).draw().map_err(e())?;
    for (n, (name, points)) in lines.iter().enumerate() {
        let color = Palette99::pick(n).to_rgba();
        let series = LineSeries::new(points.iter().copied(), color.stroke_width(2)).point_size(4);
        let series = chart.draw_series(series).map_err(e())?;
        series
            .label(*name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerRight)
        .border_style(BLACK)
        .background_style(WHITE)
        .draw()
        .map_err(e())?;
    root.present().map_err(e())
}

/// Plots rates with and without the safeguards side by side, on a logarithmic axis from 1.
fn plot_bars(file: &Path, names: &[&str], with: &[(f64, f64)], without: &[(f64, f64)]) -> Result<()> {
    let e = || plot_error(file);
    let top = with.iter().chain(without).fold(10.0f64, |t, p| t.max(p.1)) * 2.0;
    let root = SVGBackend::new(file, (860, 420)).into_drawing_area();
    root.fill(&WHITE).map_err(e())?;
    let label = |x: &f64| {
        let is_integer = (x - x.round()).abs() < 0.01;
        names
            .get(x.round() as usize)
            .filter(|_| is_integer && *x >= 0.0)
            .copied()
            .unwrap_or_default()
            .to_string()
    };
    let mut chart = ChartBuilder::on(&root)
        .caption("False failure detections in 1,000 member-hours, plus one (simulated)", ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(56)
        .build_cartesian_2d(-0.5..names.len() as f64 - 0.5, (1.0..top).log_scale())
        .map_err(e())?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(names.len() * 2)
        .x_label_formatter(&label)
        .label_style(("sans-serif", 11))
        .draw()
        .map_err(e())?;
    for (n, (name, points)) in
        [("with local health and relays", with), ("without", without)].iter().enumerate()
    {
        let color = Palette99::pick(n).to_rgba();
        let left = n as f64 * 0.35 - 0.35;
        let bar =
            |&(x, y): &(f64, f64)| Rectangle::new([(x + left, 1.0), (x + left + 0.33, y)], color.filled());
        let series = chart.draw_series(points.iter().map(bar)).map_err(e())?;
        series
            .label(*name)
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 14, y + 5)], color.filled()));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .border_style(BLACK)
        .background_style(WHITE)
        .draw()
        .map_err(e())?;
    root.present().map_err(e())
}
