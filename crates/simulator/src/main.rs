//! Command-line program of the simulator: simulates or checks an experiment, or compares two reports.

mod error;

use std::fs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Instant;

use clap::{Parser, Subcommand};
use tulipridge_simulator::experiment::Experiment;
use tulipridge_simulator::report::Report;

use crate::error::CommandError;

/// Simulates fleets of gateways.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Simulates an experiment and writes report.json, report.html and its plots as SVG
    Run {
        /// Experiment file in HCL
        file: PathBuf,
        /// Folder that the report is written to
        #[arg(long, default_value = "target/lab")]
        out: PathBuf,
        /// Seed that overrides the one in the file
        #[arg(long)]
        seed: Option<u64>,
    },
    /// Checks an experiment file without simulating it
    Check {
        /// Experiment file in HCL
        file: PathBuf,
    },
    /// Compares two reports of the same experiment and seed
    Compare {
        /// report.json of the earlier simulation
        before: PathBuf,
        /// report.json of the later simulation
        now: PathBuf,
    },
}

fn main() -> ExitCode {
    match run(Arguments::parse().command) {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("tulipridge-simulator: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs a command, and returns its output.
fn run(command: Command) -> Result<String, CommandError> {
    match command {
        Command::Check { file } => check(&file),
        Command::Compare { before, now } => Ok(read_report(&now)?.compare(&read_report(&before)?)?),
        Command::Run { file, out, seed } => simulate(&file, &out, seed),
    }
}

fn check(file: &Path) -> Result<String, CommandError> {
    let experiment = read_experiment(file)?;
    let (policies, faults) = (experiment.policies.len(), experiment.faults.len());
    Ok(format!("{}: {policies} policies, {faults} faults\n", file.display()))
}

fn simulate(file: &Path, folder: &Path, seed: Option<u64>) -> Result<String, CommandError> {
    let mut experiment = read_experiment(file)?;
    experiment.seed = seed.unwrap_or(experiment.seed);
    let started_at = Instant::now();
    let report = Report::simulate(&experiment)?;
    let elapsed_s = started_at.elapsed().as_secs_f64();
    let simulated_s = (experiment.warmup + experiment.duration).as_secs_f64();
    let policies = experiment.policies.len();
    eprintln!("simulated {simulated_s:.0} s in {elapsed_s:.1} s, {policies} policies in parallel");
    write_report(folder, &report)?;
    Ok(report.text())
}

fn write_report(folder: &Path, report: &Report) -> Result<(), CommandError> {
    fs::create_dir_all(folder).map_err(|source| CommandError::file(folder, source))?;
    write_file(&folder.join("report.json"), &report.json()?)?;
    write_file(&folder.join("report.html"), &report.html()?)?;
    for plot in report.plots()? {
        write_file(&folder.join(format!("{}.svg", plot.name)), &plot.svg)?;
    }
    Ok(())
}

fn write_file(path: &Path, text: &str) -> Result<(), CommandError> {
    fs::write(path, text).map_err(|source| CommandError::file(path, source))
}

fn read_file(path: &Path) -> Result<String, CommandError> {
    fs::read_to_string(path).map_err(|source| CommandError::file(path, source))
}

fn read_experiment(path: &Path) -> Result<Experiment, CommandError> {
    Ok(Experiment::parse(&path.display().to_string(), &read_file(path)?)?)
}

fn read_report(path: &Path) -> Result<Report, CommandError> {
    let text = read_file(path)?;
    serde_json::from_str(&text)
        .map_err(|source| CommandError::InvalidReport { path: path.to_owned(), source })
}
