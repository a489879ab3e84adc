//! Kills members while operators send changes. No acknowledged change may be lost, and no rejected change may be in
//! force.

mod change_outcomes;
mod report;

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;

pub use report::KillReport;

use change_outcomes::{ChangeOutcomes, ChangeOutcomesState};

use crate::deployment::{Deployment, Topology};
use crate::disk::FileLengths;
use crate::error::Result;
use crate::operator::{Change, ChangeResponse, OperatorClient, marker_of};

/// Number of operators that send changes concurrently.
const OPERATORS: usize = 2;
/// Number of routes of each operator, whose markers are set in turn.
const ROUTES: u64 = 4;
/// Padding of the document in bytes, long enough that the log is compacted occasionally.
const PADDING_BYTES: usize = 20_000;
/// Time from a decision to the operator's next change.
const CHANGE_INTERVAL: Duration = Duration::from_millis(10);
/// Timeout of an attempt, short because a killed member does not respond.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout for the decision on a change, long because several kills may delay it.
const DECISION_TIMEOUT: Duration = Duration::from_secs(60);
/// Limit of the random number of bytes by which a member's log grows before the member is killed.
const MAX_LOG_GROWTH_BYTES: u64 = 100_000;
/// Time after which a member is killed even if its log has not grown by that number of bytes.
const LOG_GROWTH_TIMEOUT: Duration = Duration::from_millis(300);
/// Time from one poll of the log's length to the next.
const LOG_POLL_INTERVAL: Duration = Duration::from_micros(200);
/// Maximum time in which an isolated member may write before its power is lost.
const POWER_GRACE: Duration = Duration::from_millis(100);
/// Maximum downtime of a killed member in milliseconds.
const MAX_DOWNTIME_MS: u64 = 1_000;
/// Rounds per early round on average; an early round begins before the control plane has converged again.
const ROUNDS_PER_EARLY_ROUND: u8 = 4;
/// Rounds per round in which all members are killed, on average.
const ROUNDS_PER_TOTAL_OUTAGE: u8 = 10;
/// Number of control-plane members.
const MEMBERS: usize = 3;

/// Kills members at least `count` times, divided among `deployments` concurrent deployments. Errors of the harness are
/// reported as violations.
#[must_use]
pub fn run_kill_test(count: u64, deployments: u64) -> KillReport {
    let kills_per_deployment = count.div_ceil(deployments);
    thread::scope(|scope| {
        let runs: Vec<_> =
            (0..deployments).map(|_| scope.spawn(move || test_deployment(kills_per_deployment))).collect();
        let mut total = KillReport::default();
        for run in runs {
            match run.join().unwrap_or_else(|panic| std::panic::resume_unwind(panic)) {
                Ok(report) => total += report,
                Err(error) => {
                    total.other_violations += 1;
                    total.add_violation(error.to_string());
                }
            }
        }
        total
    })
}

fn test_deployment(count: u64) -> Result<KillReport> {
    let started_at = Instant::now();
    let mut deployment = Deployment::start(Topology { edges: 0, ..Topology::default() })?;
    deployment.operator().apply(&Change::first(PADDING_BYTES), DECISION_TIMEOUT)?;
    let outcomes = ChangeOutcomes::default();
    let stop = AtomicBool::new(false);
    let operator = deployment.operator().with_attempt_timeout(ATTEMPT_TIMEOUT);
    let mut report = KillReport::default();
    let result = thread::scope(|scope| {
        for number in 0..OPERATORS {
            let (operator, outcomes, stop) = (operator.clone(), &outcomes, &stop);
            scope.spawn(move || send_changes(number, &operator, outcomes, stop));
        }
        let result = run_rounds(&mut deployment, &operator, &outcomes, count, &mut report);
        stop.store(true, Ordering::Relaxed);
        result
    });
    if let Err(error) = result {
        report.other_violations += 1;
        report.add_violation(format!("{error}\n{}", deployment.describe()));
    } else {
        check_configuration(&operator, &outcomes, &mut report)?;
    }
    outcomes.add_to(&mut report);
    report.seconds = started_at.elapsed().as_secs_f64();
    Ok(report)
}

fn run_rounds(
    deployment: &mut Deployment,
    operator: &OperatorClient,
    outcomes: &ChangeOutcomes,
    count: u64,
    report: &mut KillReport,
) -> Result<()> {
    while report.kills < count && report.is_clean() {
        let is_early_round = fastrand::u8(..ROUNDS_PER_EARLY_ROUND) == 0;
        if is_early_round {
            report.early_rounds += 1;
        } else {
            deployment.wait_until_converged()?;
            check_configuration(operator, outcomes, report)?;
        }
        kill_and_restart(deployment, &choose_victims(), report)?;
    }
    deployment.wait_until_converged()
}

fn choose_victims() -> Vec<usize> {
    match fastrand::u8(..ROUNDS_PER_TOTAL_OUTAGE) {
        0 => (0..MEMBERS).collect(),
        _ => vec![fastrand::usize(..MEMBERS)],
    }
}

fn kill_and_restart(deployment: &mut Deployment, victims: &[usize], report: &mut KillReport) -> Result<()> {
    report.total_outage_rounds += u64::from(victims.len() > 1);
    if let Some(first) = victims.first() {
        wait_for_log_growth(&deployment.members[*first].data_folder);
    }
    for victim in victims {
        kill(deployment, *victim, report)?;
    }
    thread::sleep(Duration::from_millis(fastrand::u64(..MAX_DOWNTIME_MS)));
    victims.iter().try_for_each(|victim| deployment.start_member(*victim))
}

/// Waits until a log has grown by a random number of bytes, so that the kill interrupts a write at any byte.
fn wait_for_log_growth(folder: &Path) {
    let started_at = Instant::now();
    let target_bytes = FileLengths::of(folder).total() + fastrand::u64(1..MAX_LOG_GROWTH_BYTES);
    while started_at.elapsed() < LOG_GROWTH_TIMEOUT && FileLengths::of(folder).total() < target_bytes {
        thread::sleep(LOG_POLL_INTERVAL);
    }
}

fn kill(deployment: &mut Deployment, victim: usize, report: &mut KillReport) -> Result<()> {
    report.kills += 1;
    report.primaries_killed += u64::from(deployment.status(victim).is_some_and(|status| status.has_lease));
    if fastrand::bool() {
        deployment.members[victim].process.kill();
        return Ok(());
    }
    report.power_losses += 1;
    if let Some(tail) = deployment.lose_power(victim, POWER_GRACE)? {
        report.tails_dropped += 1;
        report.bytes_dropped += tail.dropped_bytes;
    }
    Ok(())
}

/// Sends changes, each based on the newest revision that the operator has received, until `stop` is set or a change is
/// not decided in time.
fn send_changes(number: usize, operator: &OperatorClient, outcomes: &ChangeOutcomes, stop: &AtomicBool) {
    let mut base = 1;
    for counter in 1.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let marker = counter * OPERATORS as u64 + number as u64;
        let label = format!("operator-{number}-{}", counter % ROUTES);
        outcomes.state().sent.insert(label.clone(), marker);
        let change = Change::upsert_route(base, &label, marker);
        match operator.send_until_decided(&change, DECISION_TIMEOUT) {
            Ok(decision) => {
                outcomes.record(&label, marker, &change, &decision);
                base = match decision.response {
                    ChangeResponse::Stale { current } => current,
                    _ => change.revision,
                };
            }
            Err(error) => return outcomes.state().failures.push(error.to_string()),
        }
        thread::sleep(CHANGE_INTERVAL);
    }
}

/// Compares the configuration with the changes that were acknowledged before the request for it.
fn check_configuration(
    operator: &OperatorClient,
    outcomes: &ChangeOutcomes,
    report: &mut KillReport,
) -> Result<()> {
    let acknowledged = outcomes.state().acknowledged.clone();
    let configuration = operator.configuration(DECISION_TIMEOUT)?;
    report.checks += 1;
    let state = outcomes.state();
    for (label, marker) in &acknowledged {
        let found = marker_of(&configuration, label);
        if found.is_none_or(|found| found < *marker) {
            report.acknowledged_lost += 1;
            report.add_violation(format!(
                "{label}: marker {marker} was acknowledged, but {found:?} is in force"
            ));
        }
    }
    check_sent(&configuration, &state, report);
    Ok(())
}

/// Checks that no marker in force was rejected or never sent.
fn check_sent(configuration: &Value, state: &ChangeOutcomesState, report: &mut KillReport) {
    for (label, newest) in &state.sent {
        let Some(found) = marker_of(configuration, label) else { continue };
        if state.rejected.contains(&found) {
            report.rejected_in_force += 1;
            report.add_violation(format!("{label}: marker {found} was rejected, but is in force"));
        }
        if found > *newest {
            report.other_violations += 1;
            report.add_violation(format!("{label}: marker {found} was never sent, but is in force"));
        }
    }
}
