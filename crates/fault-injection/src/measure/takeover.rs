//! From a primary's fault until a change is acknowledged again.

use std::thread;
use std::time::{Duration, Instant};

use serde::Serialize;

use super::{CHANGE_LIMIT, TRY_TIMEOUT, start};
use crate::deployment::{Deployment, Plan, SETTLE_LIMIT};
use crate::error::Result;
use crate::figures::Figures;
use crate::network::Condition;
use crate::operator::Change;
use crate::process::Signal;
use crate::wait::wait_until;

/// How long a member whose power is lost may go on writing unheard.
const POWER_GRACE: Duration = Duration::from_millis(50);

/// What befalls the primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Cause {
    /// SIGKILL.
    Kill,
    /// Its machine falls silent and loses what it had not told anyone.
    Power,
    /// Nothing reaches it and nothing leaves it any more.
    Cut,
    /// SIGSTOP.
    Freeze,
    /// SIGTERM.
    Term,
}

/// The figures of takeovers.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct TakeoverReport {
    /// What befell the primary.
    pub cause: Cause,
    /// Until the next change was acknowledged.
    pub change_acknowledged: Figures,
    /// Until another member said that it has the lease.
    pub lease_seen: Figures,
}

/// Plays so many faults of the primary.
pub fn takeover(cause: Cause, count: usize) -> Result<TakeoverReport> {
    let mut deployment = start(Plan { edges: 0, ..Plan::default() })?;
    let mut acknowledged = Vec::new();
    let mut leased = Vec::new();
    for base in 1..=count as u64 {
        let play = play(&mut deployment, cause, base)?;
        acknowledged.push(play.acknowledged);
        leased.push(play.leased);
    }
    Ok(TakeoverReport {
        cause,
        change_acknowledged: Figures::of(acknowledged),
        lease_seen: Figures::of(leased),
    })
}

struct Play {
    acknowledged: Duration,
    leased: Duration,
}

fn play(deployment: &mut Deployment, cause: Cause, base: u64) -> Result<Play> {
    let primary = deployment.wait_for_primary()?;
    // The operator turns to the others: that one of three members is gone costs it one try.
    let operator = deployment.operator_knowing(|index| index != primary).with_try_timeout(TRY_TIMEOUT);
    // The phase of heartbeats at which the fault comes.
    thread::sleep(Duration::from_millis(fastrand::u64(..200)));
    let began = Instant::now();
    strike(deployment, cause, primary)?;
    let play = thread::scope(|scope| {
        let change = scope.spawn(|| {
            let change = Change::upsert_route(base, "marked", base);
            operator.apply(&change, CHANGE_LIMIT).map(|_| began.elapsed())
        });
        let is_leased = || {
            let others = (0..deployment.members.len()).filter(|index| *index != primary);
            others.into_iter().any(|index| deployment.status(index).is_some_and(|status| status.lease))
        };
        wait_until("another member has the lease", SETTLE_LIMIT, is_leased)?;
        let leased = began.elapsed();
        let acknowledged = change.join().unwrap_or_else(|panic| std::panic::resume_unwind(panic))?;
        Ok(Play { acknowledged, leased })
    })?;
    restore(deployment, cause, primary)?;
    deployment.wait_until_whole()?;
    Ok(play)
}

fn strike(deployment: &mut Deployment, cause: Cause, primary: usize) -> Result<()> {
    match cause {
        Cause::Kill => deployment.members[primary].process.kill(),
        Cause::Power => {
            deployment.lose_power(primary, POWER_GRACE)?;
        }
        Cause::Cut => deployment.cut_member(primary, Condition::Held),
        Cause::Freeze => deployment.members[primary].process.signal(Signal::STOP)?,
        Cause::Term => deployment.members[primary].process.signal(Signal::TERM)?,
    }
    Ok(())
}

fn restore(deployment: &mut Deployment, cause: Cause, index: usize) -> Result<()> {
    match cause {
        Cause::Kill | Cause::Power => deployment.start_member(index),
        Cause::Cut => {
            deployment.cut_member(index, Condition::Open);
            Ok(())
        }
        Cause::Freeze => deployment.members[index].process.signal(Signal::CONT),
        Cause::Term => {
            deployment.members[index].process.wait_for_end(SETTLE_LIMIT)?;
            deployment.start_member(index)
        }
    }
}
