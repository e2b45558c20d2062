//! `lynxstair experiment`: the tables and plots of the results page, on the virtual clock.

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
    /// How soon deaths are known, how often living ones are declared dead, what it costs in bytes.
    ///
    /// Prints tables in Markdown, and writes plots. All cores, some minutes; --quick: some seconds.
    Membership {
        #[arg(long)]
        quick: bool,
        /// Where plots go
        #[arg(long, value_name = "DIR", default_value = "docs/plots")]
        out: PathBuf,
    },
    /// Stories of the system's core, each judged by what its callers saw.
    ///
    /// Prints a table in Markdown, and what each broken scenario would need to be looked at; ends with 1 where one broke.
    Core {
        /// How many scenarios in all, shared by the kinds
        #[arg(long, default_value_t = 1_000)]
        seeds: u64,
        /// The first seed of each kind
        #[arg(long, default_value_t = 0)]
        from: u64,
        /// Only scenarios of this name
        #[arg(long)]
        scenario: Option<String>,
    },
    /// How long a duty has no owner after what; and what owners and voters send at rest.
    ///
    /// Prints tables in Markdown. --quick: fewer runs.
    Ownership {
        #[arg(long)]
        quick: bool,
    },
}

pub fn run(args: Args) -> Result<u8> {
    let (quick, out) = match args.command {
        Command::Membership { quick, out } => (quick, out),
        Command::Ownership { quick } => {
            ownership(quick);
            return Ok(0);
        }
        Command::Core { seeds, from, scenario } => return core(seeds, from, scenario.as_deref()),
    };
    std::fs::create_dir_all(&out).with_context(|| out.display().to_string())?;
    detection(quick, &out)?;
    loss(quick)?;
    wrong(quick, &out)?;
    cost(quick, &out)?;
    one_link(quick);
    Ok(0)
}

/// So many broken scenarios of a kind are told in full.
const TOLD: usize = 3;

fn core(seeds: u64, from: u64, only: Option<&str>) -> Result<u8> {
    let stories: Vec<Scenario> =
        Scenario::ALL.into_iter().filter(|s| only.is_none_or(|name| s.name() == name)).collect();
    if stories.is_empty() {
        return Err(anyhow!("no story has this name: {}", only.unwrap_or_default()));
    }
    let each = seeds.div_ceil(stories.len() as u64);
    println!("| story | seeds | broken | changes acknowledged | orders and reads sent | hours there |");
    println!("| --- | --- | --- | --- | --- | --- |");
    let mut told = Vec::new();
    for scenario in stories {
        let all: Vec<(u64, SimulationResult)> =
            (from..from + each).into_par_iter().map(|seed| (seed, simulate(scenario, seed, None))).collect();
        let sum = |of: fn(&SimulationResult) -> f64| all.iter().map(|(_, v)| of(v)).sum::<f64>();
        let broken: Vec<_> = all.iter().filter(|(_, v)| !v.violations.is_empty()).collect();
        println!(
            "| {} | {each} | {} | {:.0} | {:.0} | {:.1} |",
            scenario.name(),
            broken.len(),
            sum(|v| v.acknowledged as f64),
            sum(|v| v.call_count as f64),
            sum(|v| v.duration.secs() / 3_600.0)
        );
        for (seed, verdict) in broken.into_iter().take(TOLD) {
            told.push(format!(
                "\n{} {seed}: {:#?}\n{}",
                scenario.name(),
                verdict.violations,
                verdict.event_log.join("\n")
            ));
        }
    }
    told.iter().for_each(|t| println!("{t}"));
    Ok(u8::from(!told.is_empty()))
}

fn ownership(quick: bool) {
    let seeds = if quick { 40 } else { 1_000 };
    println!(
        "\n| members | what happens to the owner | runs | median | 99 of 100 | worst | none within 20 s |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    let kinds = [
        (TakeoverCause::Kill, "killed"),
        (TakeoverCause::KillLeader, "killed, and it leads the voters"),
        (TakeoverCause::Pause, "paused"),
        (TakeoverCause::Isolate, "cut off"),
        (TakeoverCause::HandOver, "told to hand over"),
    ];
    for members in [5, 40] {
        for (takes, what) in kinds {
            let all: Vec<Option<f64>> =
                (1..=seeds).into_par_iter().map(|s| takeover_time(members, takes, s)).collect();
            let mut took: Vec<f64> = all.iter().flatten().copied().collect();
            took.sort_by(f64::total_cmp);
            let [median, most, worst] = [0.5, 0.99, 1.0].map(|share| quantile(&took, share));
            let never = all.len() - took.len();
            println!(
                "| {members} | {what} | {} | {median:.2} s | {most:.2} s | {worst:.2} s | {never} |",
                all.len()
            );
        }
    }
    println!("\n| members | datagrams a second, of all together, at rest |\n| --- | --- |");
    for members in [5, 40] {
        println!("| {members} | {:.0} |", idle_datagrams_per_second(members, 1));
    }
}

/// The value below which this share lies.
fn quantile(sorted: &[f64], share: f64) -> f64 {
    let at = (sorted.len() as f64 * share).ceil() as usize;
    sorted.get(at.saturating_sub(1)).copied().unwrap_or(f64::NAN)
}

struct Times {
    many: usize,
    first: f64,
    median: f64,
    most: f64,
    worst: f64,
}

fn times(members: usize, kills: usize, seeds: u64, lost: f64) -> Times {
    let all: Vec<_> = (1..=seeds)
        .into_par_iter()
        .flat_map_iter(|s| failure_detection_times(members, kills, lost, s))
        .collect();
    let sorted = |of: fn(&lynxstair_emulator::experiment::DetectionTimes) -> f64| {
        let mut all: Vec<f64> = all.iter().map(of).collect();
        all.sort_by(f64::total_cmp);
        all
    };
    let (first, known) = (sorted(|d| d.first_s), sorted(|d| d.all_s));
    Times {
        many: all.len(),
        first: quantile(&first, 0.5),
        median: quantile(&known, 0.5),
        most: quantile(&known, 0.99),
        worst: known.last().copied().unwrap_or(f64::NAN),
    }
}

const HEAD: &str = "deaths | first to know, median | known to all, median | 99 of 100 | worst |";

fn row(name: &str, t: &Times) {
    println!(
        "| {name} | {} | {:.2} s | {:.2} s | {:.2} s | {:.2} s |",
        t.many, t.first, t.median, t.most, t.worst
    );
}

fn detection(quick: bool, out: &Path) -> Result<()> {
    // Sizes, deaths in a run, runs.
    let sizes: &[(usize, usize, u64)] = if quick {
        &[(10, 4, 12), (100, 4, 6)]
    } else {
        &[(10, 4, 120), (100, 20, 12), (1_000, 10, 6), (3_000, 1, 3)]
    };
    println!("\n| members | {HEAD}\n| --- | --- | --- | --- | --- | --- |");
    let mut points = Vec::new();
    for &(members, kills, seeds) in sizes {
        let t = times(members, kills, seeds, 0.0);
        row(&members.to_string(), &t);
        points.push((members as f64, t.median, t.most));
    }
    let line = |of: fn(&(f64, f64, f64)) -> f64| points.iter().map(|p| (p.0, of(p))).collect::<Vec<_>>();
    plot(
        &out.join("membership-detection.svg"),
        "Time until a death is known to all (emulated)",
        ("members", "seconds"),
        &[("median", line(|p| p.1)), ("99 of 100", line(|p| p.2))],
    )
}

fn loss(quick: bool) -> Result<()> {
    let (kills, seeds) = if quick { (4, 6) } else { (20, 12) };
    println!("\n| lost, 100 members | {HEAD}\n| --- | --- | --- | --- | --- | --- |");
    for lost in [0.0, 0.05, 0.2, 0.4] {
        row(&format!("{}%", (lost * 100.0) as u32), &times(100, kills, seeds, lost));
    }
    Ok(())
}

/// Mean and half the width of its 95% interval.
fn mean(of: &[f64]) -> (f64, f64) {
    let n = of.len() as f64;
    let mean = of.iter().sum::<f64>() / n;
    let variance = of.iter().map(|x| (x - mean).powi(2)).sum::<f64>() / (n - 1.0).max(1.0);
    (mean, 1.96 * (variance / n).sqrt())
}

fn wrong(quick: bool, out: &Path) -> Result<()> {
    let (members, minutes, seeds) = if quick { (20, 1, 4) } else { (40, 5, 8) };
    let weathers = [
        ("nothing lost", FaultPattern::Loss(0.0)),
        ("5% lost", FaultPattern::Loss(0.05)),
        ("20% lost", FaultPattern::Loss(0.2)),
        ("40% lost", FaultPattern::Loss(0.4)),
        ("1% paused", FaultPattern::Pauses),
        ("2% of links cut one way", FaultPattern::OneWayCuts(0.02)),
        ("10% of links cut one way", FaultPattern::OneWayCuts(0.1)),
    ];
    let cases: Vec<_> = (0..weathers.len()).flat_map(|w| (1..=seeds).map(move |s| (w, s))).collect();
    let rate = |(dead, hours): (usize, f64)| dead as f64 / hours * 1_000.0;
    let found: Vec<_> = cases
        .par_iter()
        .map(|&(w, s)| {
            let at = |care| rate(false_failure_detections(members, weathers[w].1, care, minutes, s));
            (w, at(Safeguards::Enabled), at(Safeguards::Disabled))
        })
        .collect();
    let hours = members as f64 * minutes as f64 / 60.0 * seeds as f64;
    println!(
        "\nDeclared deaths of living members in 1,000 member-hours; {members} members, {hours:.0} member-hours each,"
    );
    println!("means with 95% intervals, the difference of pairs of one seed.\n");
    println!("| | with | without | difference |\n| --- | --- | --- | --- |");
    let (mut with, mut without) = (Vec::new(), Vec::new());
    for (w, (name, _)) in weathers.iter().enumerate() {
        let of = |take: fn(&(usize, f64, f64)) -> f64| {
            mean(&found.iter().filter(|f| f.0 == w).map(take).collect::<Vec<_>>())
        };
        let (a, b, d) = (of(|f| f.1), of(|f| f.2), of(|f| f.2 - f.1));
        println!("| {name} | {:.0} ± {:.0} | {:.0} ± {:.0} | {:.0} ± {:.0} |", a.0, a.1, b.0, b.1, d.0, d.1);
        with.push((w as f64, a.0 + 1.0));
        without.push((w as f64, b.0 + 1.0));
    }
    bars(&out.join("membership-wrong.svg"), &weathers.map(|(n, _)| n), &with, &without)
}

fn cost(quick: bool, out: &Path) -> Result<()> {
    let sizes: &[usize] = if quick { &[10, 100] } else { &[10, 30, 100, 300, 1_000, 3_000] };
    let found: Vec<_> = sizes.par_iter().map(|n| (*n, traffic(*n, 1))).collect();
    println!(
        "\n| members | bytes a second a member | datagrams a second a member | largest datagram while some die |"
    );
    println!("| --- | --- | --- | --- |");
    for (members, (bytes, datagrams, largest)) in &found {
        println!("| {members} | {bytes:.0} | {datagrams:.1} | {largest} bytes |");
    }
    let line = found.iter().map(|(n, t)| (*n as f64, t.0)).collect();
    plot(
        &out.join("membership-bytes.svg"),
        "Bytes a second a member, at rest (emulated)",
        ("members", "bytes a second"),
        &[("sent", line)],
    )
}

fn one_link(quick: bool) {
    let (sizes, seeds): (&[usize], u64) = if quick { (&[6, 10], 20) } else { (&[6, 8, 10, 20, 40], 200) };
    println!("\n| heard by one only, of | declared failed | declared others failed |\n| --- | --- | --- |");
    for &members in sizes {
        let found: Vec<_> =
            (1..=seeds).into_par_iter().map(|s| failures_with_single_link(members, s)).collect();
        let of_it = found.iter().filter(|f| f.0).count();
        let by_it = found.iter().filter(|f| f.1).count();
        println!("| {members} | {of_it} of {seeds} runs | {by_it} of {seeds} runs |");
    }
}

type Lines<'a> = [(&'a str, Vec<(f64, f64)>)];

fn drawn<E: std::error::Error>(file: &Path) -> impl Fn(E) -> anyhow::Error + '_ {
    move |e| anyhow!("{}: {e}", file.display())
}

/// Lines over a number of members.
fn plot(file: &Path, title: &str, (x, y): (&str, &str), lines: &Lines<'_>) -> Result<()> {
    let e = || drawn(file);
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

/// With and without, side by side, on a logarithmic scale from one.
fn bars(file: &Path, names: &[&str], with: &[(f64, f64)], without: &[(f64, f64)]) -> Result<()> {
    let e = || drawn(file);
    let top = with.iter().chain(without).fold(10.0f64, |t, p| t.max(p.1)) * 2.0;
    let root = SVGBackend::new(file, (860, 420)).into_drawing_area();
    root.fill(&WHITE).map_err(e())?;
    let label = |x: &f64| {
        let near = (x - x.round()).abs() < 0.01;
        names.get(x.round() as usize).filter(|_| near && *x >= 0.0).copied().unwrap_or_default().to_string()
    };
    let mut chart = ChartBuilder::on(&root)
        .caption(
            "Living members declared failed, in 1,000 member-hours (emulated; one added)",
            ("sans-serif", 18),
        )
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
        [("with own lateness and links", with), ("without", without)].iter().enumerate()
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
