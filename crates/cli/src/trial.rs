//! `lynxstair trial`: plays trial files and says what broke.

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

/// Parts that can be taken out, to see that trials miss them.
#[derive(Clone, Copy, Debug, ValueEnum)]
enum Part {
    Suspicion,
    Lateness,
    Incarnation,
    Relays,
    /// A voter that lost its records votes on under its old identity
    Identity,
    /// Voters answer before it is on disk
    Disk,
    Epochs,
    Leases,
    /// Effects of an earlier epoch are taken where they land
    Refusal,
}

/// Starts several gatekeepers with links between them, plays the faults, stops everything, judges the
/// histories.
///
/// Exit code 0: all that must hold held; 1: something broke; 2: a file can't be played, or the machine failed
/// it.
#[derive(clap::Args)]
pub struct Args {
    /// Trial files, played one after another
    files: Vec<PathBuf>,
    /// Takes the place of the seed in the file
    #[arg(long)]
    seed: Option<u64>,
    /// Verdicts as JSON, one a line
    #[arg(long)]
    json: bool,
    /// Leaves histories, logs and records here, in a folder for each trial
    #[arg(long, value_name = "DIR")]
    keep: Option<PathBuf>,
    /// Lists what must always hold
    #[arg(long)]
    rules: bool,
    /// Plays so many trials with faults drawn at random, and prints a file for each that broke
    #[arg(long, value_name = "N", requires = "base")]
    hunt: Option<u64>,
    /// What a hunt's trials are like besides their faults
    #[arg(long, value_name = "FILE")]
    base: Option<PathBuf>,
    /// The gatekeeper's program; else the one beside this
    #[arg(long, value_name = "FILE")]
    program: Option<PathBuf>,
    /// Takes a part out, to show that a trial would miss it
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
        bail!("{}: no such program; build it, or name it by --program", program.display());
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
        signal_hook::flag::register(signal, stop.clone()).context("signals")?;
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
    if let (Some(many), Some(base)) = (args.hunt, &args.base) {
        return hunt(&args, many, base, &options);
    }
    if args.files.is_empty() {
        bail!("no trial file is named");
    }
    // All are read before the first is played.
    let trials = args.files.iter().map(|f| Trial::read(f, args.seed)).collect::<Result<Vec<_>, _>>()?;
    let mut code = 0;
    for trial in &trials {
        if stop.load(Ordering::SeqCst) {
            bail!("told to stop");
        }
        let verdict = run_trial(trial, &options).with_context(|| trial.name.clone())?;
        tell(&verdict, args.json)?;
        code |= u8::from(!verdict.passed);
    }
    Ok(code)
}

/// The first rule that broke decides the last line.
fn last_line(verdict: &Verdict) -> String {
    match verdict.violations.first() {
        None => format!("trial kept {}", verdict.name),
        Some(first) => format!("trial broken {}: {}", verdict.name, first.rule),
    }
}

fn tell(verdict: &Verdict, json: bool) -> Result<()> {
    if json {
        println!("{}", serde_json::to_string(verdict)?);
    } else {
        for one in &verdict.violations {
            println!(
                "{:8.3} s  {}  [{}]  {}",
                one.at_s,
                one.rule,
                one.gatekeepers.join(", "),
                one.description
            );
            one.history_lines.iter().for_each(|l| println!("            {l}"));
        }
        let i = &verdict.requests;
        if i.sent > 0 {
            println!(
                "invocations: {} sent, {} succeeded, {} throttled, {} errored, {} without an answer",
                i.sent, i.succeeded, i.throttled, i.errored, i.unanswered
            );
        }
        if let Some(e) = &verdict.batches {
            println!(
                "effects at the sink: {} taken, {} there already, {} late ones refused",
                e.accepted, e.duplicates, e.fenced
            );
        }
        for d in &verdict.detections {
            println!(
                "{} was killed: seen failed after {:.2} s by the first, {:.2} s by the last",
                d.gatekeeper, d.first_s, d.last_s
            );
        }
        if let Some(after) = verdict.agreed_after_s {
            println!("all agreed {after:.2} s after the last fault");
        }
        if let Some(cpu) = verdict.cpu_cores {
            println!("CPU of a gatekeeper: {:.2}% of a core", cpu * 100.0);
        }
    }
    println!("{}", last_line(verdict));
    Ok(())
}

fn hunt(args: &Args, many: u64, base: &Path, options: &TrialOptions<'_>) -> Result<u8> {
    let base = Trial::read(base, args.seed)?;
    let mut code = 0;
    for n in 0..many {
        let trial = random_trial(&base, base.seed.wrapping_add(n));
        let verdict = run_trial(&trial, options).with_context(|| trial.name.clone())?;
        if verdict.passed {
            println!("{}", last_line(&verdict));
            continue;
        }
        code = 1;
        tell(&verdict, args.json)?;
        let rule = verdict.violations[0].rule;
        let least = minimize_trial(&trial, |t| {
            Ok::<_, lynxstair_fault_injection::TrialError>(!run_trial(t, options)?.passed)
        })
        .with_context(|| trial.name.clone())?;
        println!("# broke {rule}; {} of {} faults are needed", least.faults.len(), trial.faults.len());
        println!("{}", least.to_toml());
        if let Some(keep) = &args.keep {
            let file = keep.join(format!("hunt-{}.toml", trial.seed));
            std::fs::write(&file, least.to_toml()).with_context(|| file.display().to_string())?;
        }
    }
    Ok(code)
}
