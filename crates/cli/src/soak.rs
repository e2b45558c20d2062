//! `lynxstair soak`: the system's own programs under signals, restarts and changes that overlap.

use std::path::PathBuf;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use anyhow::{Context, Result, bail};
use lynxstair_fault_injection::soak::{SoakOptions, SoakPlan, SoakReport, SoakShape, run as run_soak};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

/// Starts controllers and proxies with clients, workers and an operator; signals, kills, pauses, restarts and changes come in
/// series that overlap.
///
/// Exit code 0: all that must hold held; 1: something broke; 2: the machine failed it.
#[derive(clap::Args)]
pub struct Args {
    /// The first seed
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// So many seeds, one after another
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// How long each takes, in seconds, without its start and end
    #[arg(long, default_value_t = 25.0)]
    seconds: f64,
    /// Proxies
    #[arg(long, default_value_t = 6)]
    proxies: usize,
    /// Clients
    #[arg(long, default_value_t = 24)]
    clients: usize,
    /// Workers at a time
    #[arg(long, default_value_t = 4)]
    workers: usize,
    /// `grace-s` of the settings
    #[arg(long, default_value_t = 6.0)]
    grace: f64,
    /// Leaves logs and data here, in a folder for each seed that broke something
    #[arg(long, value_name = "DIR")]
    keep: Option<PathBuf>,
    /// The folder of the system's programs; else the one of this program
    #[arg(long, value_name = "DIR")]
    programs: Option<PathBuf>,
}

pub fn run(args: &Args) -> Result<u8> {
    let own = std::env::current_exe()?;
    let programs = match (&args.programs, own.parent()) {
        (Some(programs), _) => programs.clone(),
        (None, Some(folder)) => folder.to_path_buf(),
        (None, None) => bail!("{}: in no folder", own.display()),
    };
    if !programs.join("lynxstair-proxy").exists() {
        bail!("{}: no lynxstair-proxy there; build it, or name its folder by --programs", programs.display());
    }
    let shape = SoakShape {
        seconds: args.seconds,
        proxies: args.proxies.max(1),
        clients: args.clients,
        workers: args.workers.max(1),
        grace_s: args.grace,
    };
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM, SIGHUP] {
        signal_hook::flag::register(signal, stop.clone()).context("signals")?;
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
