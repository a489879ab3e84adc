//! Injects faults into the real programs and prints measurements as JSON.

use std::fmt::Debug;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::{OptionParser, Parser, construct, long};
use serde::Serialize;
use tulipridge_fault_injection::error::HarnessError;
use tulipridge_fault_injection::kill_test::{KillReport, run_kill_test};
use tulipridge_fault_injection::measurement::{self, FaultKind};

/// The scenario to run.
#[derive(Clone, Debug)]
enum Command {
    Kills { count: u64, deployments: u64 },
    Takeover { fault: FaultKind, count: usize },
    Propagate { count: usize },
    CatchUp { changes: Vec<u64>, count: usize },
    PartitionRecovery { seconds: u64, count: usize },
    ChangeCost { note_bytes: Vec<usize>, changes: u64 },
}

fn main() -> ExitCode {
    let result = match command_line().run() {
        Command::Kills { count, deployments } => return print_kills(&run_kill_test(count, deployments)),
        Command::Takeover { fault, count } => measurement::measure_takeover(fault, count).map(print),
        Command::Propagate { count } => measurement::measure_propagation(count).map(print),
        Command::CatchUp { changes, count } => changes
            .into_iter()
            .try_for_each(|missed| measurement::measure_catch_up(missed, count).map(print)),
        Command::PartitionRecovery { seconds, count } => return print_partition_recovery(seconds, count),
        Command::ChangeCost { note_bytes, changes } => note_bytes
            .into_iter()
            .try_for_each(|bytes| measurement::measure_change_cost(bytes, changes).map(print)),
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

fn print(report: impl Serialize) {
    match serde_json::to_string(&report) {
        Ok(text) => println!("{text}"),
        Err(error) => eprintln!("the report can't be encoded: {error}"),
    }
}

fn print_kills(report: &KillReport) -> ExitCode {
    print(report);
    let verdict = if report.is_clean() { "no violation" } else { "VIOLATED" };
    println!(
        "{verdict}: {} kills ({} of primaries, {} with loss of power, {} rounds of all members) in {:.0} s; \
         {} changes acknowledged, {} of them lost; {} rejected, {} of them in force; {} other violations",
        report.kills,
        report.primaries_killed,
        report.power_losses,
        report.all_killed,
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
    print(report);
    if is_clean { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn command_line() -> OptionParser<Command> {
    let kills = {
        let count = count(1_000);
        let deployments = long("deployments")
            .help("Deployments that run beside each other")
            .argument::<u64>("N")
            .guard(|count| *count > 0, "must be above 0")
            .fallback(4);
        let parser = construct!(Command::Kills { count, deployments });
        command(parser, "kills", "Kills members while operators send changes; fails if one is lost")
    };
    let takeover = {
        let fault = long("cause")
            .help("kill, power, cut, freeze or term")
            .argument::<String>("CAUSE")
            .parse(|text| parse_fault(&text));
        let count = count(50);
        let parser = construct!(Command::Takeover { fault, count });
        command(parser, "takeover", "From a fault of the primary until a change is acknowledged")
    };
    let propagate = {
        let count = count(200);
        let parser = construct!(Command::Propagate { count });
        command(parser, "propagate", "From an acknowledgement until a change is in force at the last proxy")
    };
    let catch_up = {
        let changes = numbers("changes", "10,100,1000", "Numbers of changes that a member misses");
        let count = count(10);
        let parser = construct!(Command::CatchUp { changes, count });
        command(
            parser,
            "catch-up",
            "From the start of a member that was away until the control plane has converged",
        )
    };
    let heal = {
        let seconds = long("seconds").help("Length of a partition").argument::<u64>("S").fallback(20);
        let count = count(5);
        let parser = construct!(Command::PartitionRecovery { seconds, count });
        command(parser, "heal", "From the end of a partition until member and proxy are current")
    };
    let cost = {
        let note_bytes = numbers("notes", "0,10000,50000", "Bytes by which the document is made longer");
        let changes = long("changes").help("Changes").argument::<u64>("N").fallback(50);
        let parser = construct!(Command::ChangeCost { note_bytes, changes });
        command(parser, "cost", "Bytes and syncs of a change")
    };
    construct!([kills, takeover, propagate, catch_up, heal, cost])
        .to_options()
        .descr("Injects faults into the real programs of tulipridge on loopback")
}

fn command(
    parser: impl Parser<Command> + 'static,
    name: &'static str,
    description: &'static str,
) -> impl Parser<Command> {
    parser.to_options().descr(description).command(name)
}

fn count<T>(default: T) -> impl Parser<T>
where
    T: Clone + Debug + std::str::FromStr + 'static,
    T::Err: std::fmt::Display,
{
    long("count").help("Runs").argument::<T>("N").fallback(default)
}

fn numbers<T>(name: &'static str, default: &'static str, help: &'static str) -> impl Parser<Vec<T>>
where
    T: std::str::FromStr + 'static,
    T::Err: std::fmt::Display,
{
    long(name).help(help).argument::<String>("N,...").fallback(default.to_owned()).parse(|text| {
        text.split(',').map(|number| number.trim().parse()).collect::<Result<Vec<T>, T::Err>>()
    })
}

fn parse_fault(text: &str) -> Result<FaultKind, String> {
    match text {
        "kill" => Ok(FaultKind::Kill),
        "power" => Ok(FaultKind::Power),
        "cut" => Ok(FaultKind::Partition),
        "freeze" => Ok(FaultKind::Freeze),
        "term" => Ok(FaultKind::Terminate),
        "slow-disk" => Err("a disk can't be made slow from outside on loopback".to_owned()),
        other => Err(format!("{other} is no fault")),
    }
}
