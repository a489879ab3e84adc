//! Injects faults into the real programs and prints measurements as JSON; runs the demo.

mod command_line;

use std::cell::Cell;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use serde::Serialize;
use tulipridge_fault_injection::demo;
use tulipridge_fault_injection::error::HarnessError;
use tulipridge_fault_injection::kill_test::{KillReport, run_kill_test};
use tulipridge_fault_injection::measurement::{self, CpuQuotaReport, QuotaTarget};
use tulipridge_fault_injection::mutation::{self, MutationOutcome};
use tulipridge_fault_injection::stop::StopRequest;

use crate::command_line::{Command, command_line};

/// The path of the list of mutations, relative to the repository.
const MUTATION_LIST: &str = "crates/fault-injection/mutations.toml";

fn main() -> ExitCode {
    let result = match command_line().run() {
        Command::Kills { count, deployments } => return print_kills(&run_kill_test(count, deployments)),
        Command::Takeover { fault, count } => measurement::measure_takeover(fault, count).map(print_json),
        Command::Propagate { count } => measurement::measure_propagation(count).map(print_json),
        Command::CatchUp { changes, count } => changes
            .into_iter()
            .try_for_each(|missed| measurement::measure_catch_up(missed, count).map(print_json)),
        Command::PartitionRecovery { seconds, count } => return print_partition_recovery(seconds, count),
        Command::ChangeCost { padding_bytes, changes } => padding_bytes
            .into_iter()
            .try_for_each(|bytes| measurement::measure_change_cost(bytes, changes).map(print_json)),
        Command::CpuQuota { seconds, targets } => return print_cpu_quota(seconds, &targets),
        Command::Mutations { clone_folder, id_prefixes } => {
            return run_mutations(&clone_folder, &id_prefixes);
        }
        Command::Demo { ports } => StopRequest::on_signals().and_then(|stop| demo::run(ports, &stop)),
    };
    exit_code(result)
}

fn exit_code(result: Result<(), HarnessError>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn print_json(report: impl Serialize) {
    match serde_json::to_string(&report) {
        Ok(text) => println!("{text}"),
        Err(error) => eprintln!("report can't be encoded as JSON: {error}"),
    }
}

fn print_kills(report: &KillReport) -> ExitCode {
    print_json(report);
    let verdict = if report.is_clean() { "no violation" } else { "VIOLATED" };
    println!(
        "{verdict}: {} kills ({} of primaries, {} with loss of power, {} rounds of all members) in {:.0} s; \
         {} changes acknowledged, {} of them lost; {} rejected, {} of them in force; {} other violations",
        report.kills,
        report.primaries_killed,
        report.power_losses,
        report.total_outage_rounds,
        report.seconds,
        report.changes_acknowledged,
        report.acknowledged_lost,
        report.changes_rejected,
        report.rejected_in_force,
        report.other_violations,
    );
    report.violations.iter().for_each(|violation| println!("{violation}"));
    if report.is_clean() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn print_partition_recovery(seconds: u64, count: usize) -> ExitCode {
    let report = match measurement::measure_partition_recovery(Duration::from_secs(seconds), count) {
        Ok(report) => report,
        Err(error) => return exit_code(Err(error)),
    };
    let is_clean = report.consistency_violations.is_empty() && report.late_responses == 0;
    print_json(report);
    if is_clean { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn print_cpu_quota(seconds: u64, targets: &[QuotaTarget]) -> ExitCode {
    match measurement::measure_cpu_quota(Duration::from_secs(seconds), targets) {
        Ok(reports) => {
            let is_clean = reports.iter().all(CpuQuotaReport::is_clean);
            reports.into_iter().for_each(print_json);
            if is_clean { ExitCode::SUCCESS } else { ExitCode::FAILURE }
        }
        Err(error) => exit_code(Err(error)),
    }
}

/// Runs the mutations whose ids begin with one of `id_prefixes`, or all if there are none; fails if one is
/// not detected.
fn run_mutations(clone_folder: &Path, id_prefixes: &[String]) -> ExitCode {
    let list = match mutation::read_list(&clone_folder.join(MUTATION_LIST)) {
        Ok(list) => list,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    };
    let is_selected =
        |id: &str| id_prefixes.is_empty() || id_prefixes.iter().any(|prefix| id.starts_with(prefix));
    let selected: Vec<_> = list.into_iter().filter(|mutation| is_selected(&mutation.id)).collect();
    let undetected_count = Cell::new(0);
    let result = mutation::run(clone_folder, &selected, |result| {
        undetected_count
            .set(undetected_count.get() + u32::from(result.outcome != MutationOutcome::Detected));
        print_json(result);
    });
    match result {
        Ok(()) if undetected_count.get() == 0 => ExitCode::SUCCESS,
        Ok(()) => ExitCode::FAILURE,
        Err(error) => exit_code(Err(error)),
    }
}
