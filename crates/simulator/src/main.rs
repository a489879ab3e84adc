//! `tulipridge-simulator`: plays an experiment, checks one, sets two reports side by side.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Instant;

use clap::{Parser, Subcommand};
use tulipridge_simulator::experiment::Experiment;
use tulipridge_simulator::report::Report;

/// Fleets of gateways in virtual time.
#[derive(Parser)]
#[command(version)]
struct Args {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Plays an experiment and writes report.json, report.html and its plots as SVG
    Run {
        /// The experiment, in HCL
        file: PathBuf,
        /// Where the report goes
        #[arg(long, default_value = "target/lab")]
        out: PathBuf,
        /// Another seed than the file's
        #[arg(long)]
        seed: Option<u64>,
    },
    /// Says what is wrong with an experiment, and plays nothing
    Check {
        /// The experiment, in HCL
        file: PathBuf,
    },
    /// Sets a report beside an earlier one of the same experiment and seed
    Compare {
        /// The report.json of before
        before: PathBuf,
        /// The report.json of now
        now: PathBuf,
    },
}

fn main() -> ExitCode {
    match work(Args::parse().what) {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(fault) => {
            eprintln!("tulipridge-simulator: {fault}");
            ExitCode::FAILURE
        }
    }
}

fn work(what: What) -> Result<String, String> {
    match what {
        What::Check { file } => {
            let x = load(&file)?;
            Ok(format!("{}: {} policies, {} faults\n", file.display(), x.policies.len(), x.faults.len()))
        }
        What::Compare { before, now } => report(&now)?.beside(&report(&before)?),
        What::Run { file, out, seed } => {
            let mut x = load(&file)?;
            x.seed = seed.unwrap_or(x.seed);
            let began = Instant::now();
            let report = Report::play(&x)?;
            let (took, played) = (began.elapsed().as_secs_f64(), (x.warmup + x.length).as_secs_f64());
            eprintln!("{played:.0} s played in {took:.1} s, {} policies side by side", x.policies.len());
            fs::create_dir_all(&out).map_err(|e| format!("{}: {e}", out.display()))?;
            let mut files = vec![("report.json".to_owned(), report.json()?)];
            files.push(("report.html".to_owned(), report.html()?));
            files.extend(report.plots()?.into_iter().map(|(name, _, svg)| (format!("{name}.svg"), svg)));
            for (name, text) in files {
                let path = out.join(name);
                fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))?;
            }
            Ok(report.text())
        }
    }
}

fn read(path: &Path) -> Result<String, String> {
    fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))
}

fn load(path: &Path) -> Result<Experiment, String> {
    Experiment::parse(&path.display().to_string(), &read(path)?).map_err(|e| e.to_string())
}

fn report(path: &Path) -> Result<Report, String> {
    serde_json::from_str(&read(path)?).map_err(|e| format!("{}: no report: {e}", path.display()))
}
