//! The command line, with one subcommand for each scenario.

use std::fmt::Debug;
use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct, long};
use serde::Deserialize;
use serde::de::IntoDeserializer;
use snafu::Snafu;
use tulipridge_fault_injection::demo::DemoPorts;
use tulipridge_fault_injection::measurement::{FaultKind, QuotaTarget};

/// The scenario to run, with its options.
#[derive(Clone, Debug)]
pub(crate) enum Command {
    /// Kill members while operators send changes.
    Kills { count: u64, deployments: u64 },
    /// Measure takeovers after a fault of the primary.
    Takeover { fault: FaultKind, count: usize },
    /// Measure the propagation of changes to proxies.
    Propagate { count: usize },
    /// Measure the recovery of members that missed changes.
    CatchUp { changes: Vec<u64>, count: usize },
    /// Measure the recovery from network partitions.
    PartitionRecovery { seconds: u64, count: usize },
    /// Measure bytes and syncs of a change.
    ChangeCost { padding_bytes: Vec<usize>, changes: u64 },
    /// Count view changes and failed requests under a CPU quota.
    CpuQuota { seconds: u64, targets: Vec<QuotaTarget> },
    /// Run the demo.
    Demo { ports: DemoPorts },
    /// Run the mutations.
    Mutations { clone_folder: PathBuf, id_prefixes: Vec<String> },
}

/// The parser of the command line.
pub(crate) fn command_line() -> OptionParser<Command> {
    let kills = kills();
    let takeover = takeover();
    let propagate = propagate();
    let catch_up = catch_up();
    let partition_recovery = partition_recovery();
    let change_cost = change_cost();
    let demo = demo();
    let cpu_quota = cpu_quota();
    let mutations = mutations();
    construct!([
        demo,
        kills,
        takeover,
        propagate,
        catch_up,
        partition_recovery,
        change_cost,
        cpu_quota,
        mutations
    ])
    .to_options()
    .descr("Injects faults into the real programs of tulipridge on loopback")
}

fn kills() -> impl Parser<Command> {
    let count = count_option(1_000, "Minimum number of kills");
    let deployments = long("deployments")
        .help("Number of concurrent deployments")
        .argument::<u64>("N")
        .guard(|count| *count > 0, "must be above 0")
        .fallback(4);
    let parser = construct!(Command::Kills { count, deployments });
    subcommand(
        parser,
        "kills",
        "Kills members while operators send changes; fails after a violation, such as a lost change",
    )
}

fn takeover() -> impl Parser<Command> {
    let fault = long("cause")
        .help("Fault of the primary: kill, power, cut, freeze or term")
        .argument::<String>("CAUSE")
        .parse(|text| parse_fault(&text));
    let count = count_option(50, "Number of faults");
    let parser = construct!(Command::Takeover { fault, count });
    subcommand(
        parser,
        "takeover",
        "Measures the time from a fault of the primary until a change is acknowledged",
    )
}

fn propagate() -> impl Parser<Command> {
    let count = count_option(200, "Number of changes");
    let parser = construct!(Command::Propagate { count });
    subcommand(
        parser,
        "propagate",
        "Measures the time from the acknowledgement of a change until all proxies apply it",
    )
}

fn catch_up() -> impl Parser<Command> {
    let changes = number_list("changes", "10,100,1000", "Numbers of changes that a member misses");
    let count = count_option(10, "Number of runs for each number of changes");
    let parser = construct!(Command::CatchUp { changes, count });
    subcommand(
        parser,
        "catch-up",
        "Measures the time from the start of a member that missed changes until the control plane converges",
    )
}

fn partition_recovery() -> impl Parser<Command> {
    let seconds =
        long("seconds").help("Duration of a partition in seconds").argument::<u64>("S").fallback(20);
    let count = count_option(5, "Number of partitions");
    let parser = construct!(Command::PartitionRecovery { seconds, count });
    subcommand(
        parser,
        "heal",
        "Measures the time from the end of a partition until member and proxy are current",
    )
}

fn change_cost() -> impl Parser<Command> {
    let padding_bytes =
        number_list("notes", "0,10000,50000", "Sizes in bytes of the note that pads the document");
    let changes = long("changes").help("Number of changes for each size").argument::<u64>("N").fallback(50);
    let parser = construct!(Command::ChangeCost { padding_bytes, changes });
    subcommand(parser, "cost", "Measures bytes and syncs of a change at the disks")
}

fn demo() -> impl Parser<Command> {
    let ports = long("port")
        .help("First port: proxies from it on, the control plane 10 above it (8080)")
        .argument::<u16>("N")
        .parse(|first| DemoPorts::from_first(first).ok_or("it leaves no room for the other ports"))
        .fallback(DemoPorts::default());
    let parser = construct!(Command::Demo { ports });
    subcommand(parser, "demo", "Runs the complete system until Ctrl-C and says what to try")
}

fn cpu_quota() -> impl Parser<Command> {
    let seconds = long("seconds")
        .help("Duration for each group of machines in seconds")
        .argument::<u64>("S")
        .fallback(120);
    let targets = long("target")
        .help("Machines with a quota: primary, replication-group, control-plane, edge or all (default: each in turn)")
        .argument::<String>("GROUP")
        .parse(|name| parse_quota_target(&name))
        .many()
        .map(|targets| if targets.is_empty() { QuotaTarget::ALL.to_vec() } else { targets });
    let parser = construct!(Command::CpuQuota { seconds, targets });
    subcommand(parser, "quota", "Stops programs for 90 ms in each 100 ms, as a CPU quota does")
}

fn mutations() -> impl Parser<Command> {
    let clone_folder = long("clone")
        .help("Clone of the repository whose sources are changed and restored")
        .argument::<PathBuf>("DIR");
    let id_prefixes =
        long("only").help("Runs only mutations whose id begins with ID").argument::<String>("ID").many();
    let parser = construct!(Command::Mutations { clone_folder, id_prefixes });
    subcommand(
        parser,
        "mutations",
        "Removes mechanisms from the sources one at a time; fails unless a test detects each",
    )
}

fn subcommand(
    parser: impl Parser<Command> + 'static,
    name: &'static str,
    description: &'static str,
) -> impl Parser<Command> {
    parser.to_options().descr(description).command(name)
}

fn count_option<T>(default: T, help: &'static str) -> impl Parser<T>
where
    T: Clone + Debug + std::str::FromStr + 'static,
    T::Err: std::fmt::Display,
{
    long("count").help(help).argument::<T>("N").fallback(default)
}

fn number_list<T>(name: &'static str, default: &'static str, help: &'static str) -> impl Parser<Vec<T>>
where
    T: std::str::FromStr + 'static,
    T::Err: std::fmt::Display,
{
    long(name).help(help).argument::<String>("N,...").fallback(default.to_owned()).parse(|text| {
        text.split(',').map(|number| number.trim().parse()).collect::<Result<Vec<T>, T::Err>>()
    })
}

/// The reason why a word is no fault that can be injected.
#[derive(Debug, Snafu)]
enum FaultNameError {
    /// The harness can't control the speed of a disk.
    #[snafu(display("a slow disk can't be simulated on loopback"))]
    SlowDisk,
    /// The word is not the name of a fault.
    #[snafu(display("unknown fault '{name}'"))]
    Unknown { name: String },
}

fn parse_quota_target(name: &str) -> Result<QuotaTarget, serde::de::value::Error> {
    QuotaTarget::deserialize(name.into_deserializer())
}

fn parse_fault(text: &str) -> Result<FaultKind, FaultNameError> {
    match text {
        "kill" => Ok(FaultKind::Kill),
        "power" => Ok(FaultKind::Power),
        "cut" => Ok(FaultKind::Partition),
        "freeze" => Ok(FaultKind::Freeze),
        "term" => Ok(FaultKind::Terminate),
        "slow-disk" => SlowDiskSnafu.fail(),
        name => UnknownSnafu { name }.fail(),
    }
}
