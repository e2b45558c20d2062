//! `lynxstair soak`: controllers and proxies under overlapping signals, restarts and configuration changes.

use std::path::PathBuf;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use anyhow::{Context, Result, bail};
use lynxstair_fault_injection::soak::{SoakOptions, SoakPlan, SoakReport, SoakShape, run as run_soak};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

/// Runs controllers and proxies with clients, workers and an operator, under overlapping series of signals,
/// kills, pauses, restarts and configuration changes
///
/// Exit code 0: no rule was broken; 1: a rule was broken; 2: the soak could not be run.
#[derive(clap::Args)]
pub struct Args {
    /// First seed
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of consecutive seeds, run one after another
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Duration of each run in seconds, without start-up and shutdown
    #[arg(long, default_value_t = 25.0)]
    seconds: f64,
    /// Number of proxies
    #[arg(long, default_value_t = 6)]
    proxies: usize,
    /// Number of clients
    #[arg(long, default_value_t = 24)]
    clients: usize,
    /// Number of concurrent workers
    #[arg(long, default_value_t = 4)]
    workers: usize,
    /// Value of the setting `grace-s`
    #[arg(long, default_value_t = 6.0)]
    grace: f64,
    /// Keeps logs and data of each failed seed in a subdirectory of DIR
    #[arg(long, value_name = "DIR")]
    keep: Option<PathBuf>,
    /// Directory of lynxstair-proxy and lynxstair-controller; by default the directory of this program
    #[arg(long, value_name = "DIR")]
    programs: Option<PathBuf>,
}

pub fn run(args: &Args) -> Result<u8> {
    let current_exe = std::env::current_exe()?;
    let programs = match (&args.programs, current_exe.parent()) {
        (Some(programs), _) => programs.clone(),
        (None, Some(directory)) => directory.to_path_buf(),
        (None, None) => bail!("{}: path has no directory", current_exe.display()),
    };
    if !programs.join("lynxstair-proxy").exists() {
        bail!("{}: no lynxstair-proxy in this directory; build it, or set --programs", programs.display());
    }
    let shape = SoakShape {
        duration_s: args.seconds,
        proxies: args.proxies.max(1),
        clients: args.clients,
        workers: args.workers.max(1),
        grace_s: args.grace,
    };
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM, SIGHUP] {
        signal_hook::flag::register(signal, stop.clone()).context("cannot register signal handler")?;
    }
    let options = SoakOptions { programs: &programs, keep_dir: args.keep.as_deref(), stop: &stop };
    let mut code = 0;
    for seed in (args.seed..).take(usize::try_from(args.seeds)?) {
        let report =
            run_soak(&SoakPlan::draw(seed, shape), &options).with_context(|| format!("seed {seed}"))?;
        print_report(&report);
        code |= u8::from(!report.findings.is_empty());
    }
    Ok(code)
}

fn print_report(report: &SoakReport) {
    let summary = &report.summary;
    for finding in &report.findings {
        println!("{:8.3} s  {}  {}", finding.at_s, finding.rule, finding.description);
    }
    println!(
        "soak {} {}: {} requests, {} succeeded, {} refused, {} failed, {} unanswered; {} signals, {} changes accepted",
        if report.findings.is_empty() { "kept" } else { "broken" },
        report.seed,
        summary.sent,
        summary.succeeded,
        summary.refused,
        summary.failed,
        summary.unanswered,
        summary.signals,
        summary.changes
    );
    if let Some(kept) = &report.kept_dir {
        println!("logs and data: {}", kept.display());
    }
}
