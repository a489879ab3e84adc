//! Kills of members while operators send changes: no acknowledged change may be lost, and none that was refused may be
//! in force.

mod report;
mod told;

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

pub use report::KillReport;
use told::Told;

use crate::deployment::{Deployment, Plan};
use crate::disk::Lengths;
use crate::error::Result;
use crate::operator::{Change, Operator, Reply, mark_of};

/// Operators that send at the same time.
const OPERATORS: usize = 2;
/// Routes of each operator, which it marks in turn.
const ROUTES: u64 = 4;
/// Bytes that make the document long enough for the log to be made shorter now and then.
const NOTE_BYTES: usize = 20_000;
/// Time between two changes of an operator.
const CHANGE_INTERVAL: Duration = Duration::from_millis(10);
/// Time for one try, so that an operator does not wait for a dead member.
const TRY_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time for a change to be decided. Kills may follow closely on each other.
const DECISION_LIMIT: Duration = Duration::from_secs(60);
/// A kill comes when the log has grown by a random number of bytes up to this.
const MOST_BYTES: u64 = 100_000;
/// A kill comes after this time also if the log has not grown so far.
const WATCH_LIMIT: Duration = Duration::from_millis(300);
/// How often the log is measured.
const WATCH_INTERVAL: Duration = Duration::from_micros(200);
/// How long a member whose power is lost may go on writing unheard.
const POWER_GRACE: Duration = Duration::from_millis(100);
/// Longest time for which a killed member stays away.
const MOST_DOWNTIME_MS: u64 = 1_000;

/// Plays at least `count` kills, shared out among `deployments` that run beside each other.
#[must_use]
pub fn kills(count: u64, deployments: u64) -> KillReport {
    let share = count.div_ceil(deployments);
    thread::scope(|scope| {
        let plays: Vec<_> = (0..deployments).map(|_| scope.spawn(move || play(share))).collect();
        let mut total = KillReport::default();
        for play in plays {
            match play.join().unwrap_or_else(|panic| std::panic::resume_unwind(panic)) {
                Ok(report) => total += report,
                Err(error) => {
                    total.other_violations += 1;
                    total.violation(error.to_string());
                }
            }
        }
        total
    })
}

fn play(count: u64) -> Result<KillReport> {
    let began = Instant::now();
    let mut deployment = Deployment::start(Plan { edges: 0, ..Plan::default() })?;
    deployment.operator().apply(&Change::first(NOTE_BYTES), DECISION_LIMIT)?;
    let told = Told::default();
    let stop = AtomicBool::new(false);
    let operator = deployment.operator().with_try_timeout(TRY_TIMEOUT);
    let mut report = KillReport::default();
    let outcome = thread::scope(|scope| {
        for number in 0..OPERATORS {
            let (operator, told, stop) = (operator.clone(), &told, &stop);
            scope.spawn(move || send_changes(number, &operator, told, stop));
        }
        let outcome = kill_members(&mut deployment, &operator, &told, count, &mut report);
        stop.store(true, Ordering::Relaxed);
        outcome
    });
    if let Err(error) = outcome {
        report.other_violations += 1;
        report.violation(format!("{error}\n{}", deployment.describe()));
    } else {
        check(&operator, &told, &mut report)?;
    }
    told.add_to(&mut report);
    report.seconds = began.elapsed().as_secs_f64();
    Ok(report)
}

fn kill_members(
    deployment: &mut Deployment,
    operator: &Operator,
    told: &Told,
    count: u64,
    report: &mut KillReport,
) -> Result<()> {
    while report.kills < count && report.is_clean() {
        let is_amid_recovery = fastrand::u8(..4) == 0;
        if is_amid_recovery {
            report.kills_amid_recovery += 1;
        } else {
            deployment.wait_until_whole()?;
            check(operator, told, report)?;
        }
        let victims = match fastrand::u8(..10) {
            0 => vec![0, 1, 2],
            _ => vec![fastrand::usize(..3)],
        };
        report.all_killed += u64::from(victims.len() > 1);
        if let Some(first) = victims.first() {
            watch_growth(&deployment.members[*first].folder);
        }
        for victim in &victims {
            kill(deployment, *victim, report)?;
        }
        thread::sleep(Duration::from_millis(fastrand::u64(..MOST_DOWNTIME_MS)));
        for victim in victims {
            deployment.start_member(victim)?;
        }
    }
    deployment.wait_until_whole()
}

/// Waits until a log has grown by a random number of bytes, so that the kill comes at any point of a write.
fn watch_growth(folder: &Path) {
    let began = Instant::now();
    let goal = Lengths::of(folder).total() + fastrand::u64(1..MOST_BYTES);
    while began.elapsed() < WATCH_LIMIT && Lengths::of(folder).total() < goal {
        thread::sleep(WATCH_INTERVAL);
    }
}

fn kill(deployment: &mut Deployment, victim: usize, report: &mut KillReport) -> Result<()> {
    report.kills += 1;
    report.primaries_killed += u64::from(deployment.status(victim).is_some_and(|status| status.lease));
    if fastrand::bool() {
        deployment.members[victim].process.kill();
        return Ok(());
    }
    report.power_losses += 1;
    if let Some(dropped) = deployment.lose_power(victim, POWER_GRACE)? {
        report.tails_dropped += 1;
        report.bytes_dropped += dropped.bytes;
    }
    Ok(())
}

/// Sends changes, each on top of the newest revision that this operator knows, until it is to stop.
fn send_changes(number: usize, operator: &Operator, told: &Told, stop: &AtomicBool) {
    let mut base = 1;
    for counter in 1.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let mark = counter * OPERATORS as u64 + number as u64;
        let label = format!("operator-{number}-{}", counter % ROUTES);
        told.state().sent.insert(label.clone(), mark);
        let change = Change::upsert_route(base, &label, mark);
        match operator.decide(&change, DECISION_LIMIT) {
            Ok(decision) => {
                told.note(&label, mark, change.revision, &decision);
                base = match decision.reply {
                    Reply::Stale { current } => current,
                    _ => change.revision,
                };
            }
            Err(error) => return told.state().failures.push(error.to_string()),
        }
        thread::sleep(CHANGE_INTERVAL);
    }
}

/// Compares the configuration with what operators were told before it was asked for.
fn check(operator: &Operator, told: &Told, report: &mut KillReport) -> Result<()> {
    let acknowledged = told.state().acknowledged.clone();
    let configuration = operator.configuration(DECISION_LIMIT)?;
    report.checks += 1;
    let state = told.state();
    for (label, mark) in &acknowledged {
        let found = mark_of(&configuration, label);
        if found.is_none_or(|found| found < *mark) {
            report.acknowledged_lost += 1;
            report.violation(format!("{label}: mark {mark} was acknowledged, {found:?} is in force"));
        }
    }
    for (label, newest) in &state.sent {
        let Some(found) = mark_of(&configuration, label) else { continue };
        if state.refused.contains(&found) {
            report.refused_in_force += 1;
            report.violation(format!("{label}: mark {found} was refused and is in force"));
        }
        if found > *newest {
            report.other_violations += 1;
            report.violation(format!("{label}: mark {found} was never sent"));
        }
    }
    Ok(())
}
