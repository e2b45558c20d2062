//! `lynxstair trial`: runs trial files and prints the rules that were broken.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use anyhow::{Context, Result, bail};
use clap::ValueEnum;
use lynxstair_fault_injection::{
    RULES, Trial, TrialOptions, Verdict, minimize_trial, random_trial, run_trial,
};
use lynxstair_membership::DisabledParts;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

/// Parts that can be disabled, to check that trials detect their absence.
#[derive(Clone, Copy, Debug, ValueEnum)]
enum Part {
    Suspicion,
    Lateness,
    Incarnation,
    Relays,
    /// A voter that lost its records continues to vote under its old identity
    Identity,
    /// Voters answer before their records are on disk
    Disk,
    Epochs,
    Leases,
    /// Receivers accept effects of earlier epochs
    Refusal,
}

/// Starts several gatekeepers, injects faults into their processes and links, and checks the recorded
/// histories
///
/// Exit code 0: no rule was broken; 1: a rule was broken; 2: a file is invalid, or a trial could not be run.
#[derive(clap::Args)]
pub struct Args {
    /// Trial files, run one after another
    files: Vec<PathBuf>,
    /// Overrides the seed in the file
    #[arg(long)]
    seed: Option<u64>,
    /// Prints verdicts as JSON, one per line
    #[arg(long)]
    json: bool,
    /// Keeps histories, logs and records of each trial in a subdirectory of DIR
    #[arg(long, value_name = "DIR")]
    keep: Option<PathBuf>,
    /// Lists the rules that trials check
    #[arg(long)]
    rules: bool,
    /// Runs N trials with random faults, and prints a minimal trial file for each that broke a rule
    #[arg(long, value_name = "N", requires = "base")]
    hunt: Option<u64>,
    /// Trial file with all settings of the random trials except their faults
    #[arg(long, value_name = "FILE")]
    base: Option<PathBuf>,
    /// Gatekeeper program; by default lynxstair-gatekeeper in the directory of this program
    #[arg(long, value_name = "FILE")]
    program: Option<PathBuf>,
    /// Disables a part, to check that a trial detects its absence
    #[arg(long, value_name = "PART")]
    without: Vec<Part>,
}

pub fn run(args: Args) -> Result<u8> {
    if args.rules {
        for rule in RULES {
            println!("{:22} {}", rule.name, rule.requirement);
        }
        return Ok(0);
    }
    let program = match &args.program {
        Some(program) => program.clone(),
        None => std::env::current_exe()?.with_file_name("lynxstair-gatekeeper"),
    };
    if !program.exists() {
        bail!("{}: program not found; build it, or set --program", program.display());
    }
    let (mut disabled_membership_parts, mut disabled_lease_parts) =
        (DisabledParts::default(), lynxstair_leases::DisabledParts::default());
    for part in &args.without {
        match part {
            Part::Suspicion => disabled_membership_parts.no_suspicion = true,
            Part::Lateness => disabled_membership_parts.no_local_health = true,
            Part::Incarnation => disabled_membership_parts.no_stored_incarnation = true,
            Part::Relays => disabled_membership_parts.no_relays = true,
            Part::Identity => disabled_lease_parts.votes_forgotten = true,
            Part::Disk => disabled_lease_parts.no_waiting_for_disk = true,
            Part::Epochs => disabled_lease_parts.no_epochs = true,
            Part::Leases => disabled_lease_parts.no_leases = true,
            Part::Refusal => disabled_lease_parts.no_refusal = true,
        }
    }
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM, SIGHUP] {
        signal_hook::flag::register(signal, stop.clone()).context("cannot register signal handler")?;
    }
    if let Some(keep) = &args.keep {
        std::fs::create_dir_all(keep).with_context(|| keep.display().to_string())?;
    }
    let options = TrialOptions {
        program: &program,
        keep_dir: args.keep.as_deref(),
        disabled_membership_parts,
        disabled_lease_parts,
        stop: &stop,
    };
    if let (Some(trial_count), Some(base)) = (args.hunt, &args.base) {
        return hunt(&args, trial_count, base, &options);
    }
    if args.files.is_empty() {
        bail!("no trial file given");
    }
    // An invalid file is rejected before the first trial starts.
    let trials = args.files.iter().map(|f| Trial::read(f, args.seed)).collect::<Result<Vec<_>, _>>()?;
    let mut code = 0;
    for trial in &trials {
        if stop.load(Ordering::SeqCst) {
            bail!("interrupted by a signal");
        }
        let verdict = run_trial(trial, &options).with_context(|| trial.name.clone())?;
        print_verdict(&verdict, args.json)?;
        code |= u8::from(!verdict.passed);
    }
    Ok(code)
}

/// Returns the last line of the output, which names the first broken rule.
fn last_line(verdict: &Verdict) -> String {
    match verdict.violations.first() {
        None => format!("trial kept {}", verdict.name),
        Some(first) => format!("trial broken {}: {}", verdict.name, first.rule),
    }
}

fn print_verdict(verdict: &Verdict, json: bool) -> Result<()> {
    if json {
        println!("{}", serde_json::to_string(verdict)?);
    } else {
        for violation in &verdict.violations {
            println!(
                "{:8.3} s  {}  [{}]  {}",
                violation.at_s,
                violation.rule,
                violation.gatekeepers.join(", "),
                violation.description
            );
            violation.history_lines.iter().for_each(|l| println!("            {l}"));
        }
        let requests = &verdict.requests;
        if requests.sent > 0 {
            println!(
                "requests: {} sent, {} succeeded, {} throttled, {} errored, {} unanswered",
                requests.sent, requests.succeeded, requests.throttled, requests.errored, requests.unanswered
            );
        }
        if let Some(batches) = &verdict.batches {
            println!(
                "batches at the sink: {} accepted, {} duplicates, {} of earlier epochs refused",
                batches.accepted, batches.duplicates, batches.fenced
            );
        }
        for detection in &verdict.detections {
            println!(
                "{} was killed: detected after {:.2} s by the first gatekeeper, {:.2} s by the last",
                detection.gatekeeper, detection.first_s, detection.last_s
            );
        }
        if let Some(after) = verdict.agreed_after_s {
            println!("all gatekeepers agreed {after:.2} s after the last fault ended");
        }
        if let Some(cpu) = verdict.cpu_cores {
            println!("CPU use per gatekeeper: {:.2}% of a core", cpu * 100.0);
        }
    }
    println!("{}", last_line(verdict));
    Ok(())
}

fn hunt(args: &Args, trial_count: u64, base: &Path, options: &TrialOptions<'_>) -> Result<u8> {
    let base = Trial::read(base, args.seed)?;
    let mut code = 0;
    for n in 0..trial_count {
        let trial = random_trial(&base, base.seed.wrapping_add(n));
        let verdict = run_trial(&trial, options).with_context(|| trial.name.clone())?;
        if verdict.passed {
            println!("{}", last_line(&verdict));
            continue;
        }
        code = 1;
        print_verdict(&verdict, args.json)?;
        let rule = verdict.violations[0].rule;
        let minimal = minimize_trial(&trial, |t| {
            Ok::<_, lynxstair_fault_injection::TrialError>(!run_trial(t, options)?.passed)
        })
        .with_context(|| trial.name.clone())?;
        println!("# broke {rule}; reduced to {} of {} faults", minimal.faults.len(), trial.faults.len());
        println!("{}", minimal.to_toml());
        if let Some(keep) = &args.keep {
            let file = keep.join(format!("hunt-{}.toml", trial.seed));
            std::fs::write(&file, minimal.to_toml()).with_context(|| file.display().to_string())?;
        }
    }
    Ok(code)
}
