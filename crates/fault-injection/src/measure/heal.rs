//! A long cut of the primary and an edge machine from all others, and how soon they are current after it.

use std::time::{Duration, Instant};

use serde::Serialize;

use super::{CHANGE_LIMIT, TRY_TIMEOUT, start};
use crate::claims::false_claim;
use crate::deployment::{ClientRequest, Deployment, Plan, SETTLE_LIMIT};
use crate::error::Result;
use crate::figures::Figures;
use crate::machine::MachineId;
use crate::network::Condition;
use crate::operator::{Change, path};
use crate::wait::wait_until;

/// The figures of cuts that have healed.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct HealReport {
    /// How long each cut lasted, in seconds.
    pub cut_s: u64,
    /// What the member that was cut off claimed wrongly.
    pub false_claims: Vec<String>,
    /// Answers of the proxy that was cut off from a route that was withdrawn for longer than the term.
    pub late_answers: usize,
    /// From the heal until the member delivers the newest configuration as fresh.
    pub member_current: Figures,
    /// From the heal until the proxy, which hears of it from its agent, serves a route that was added meanwhile.
    pub proxy_current: Figures,
}

/// `withdrawMs` of the settings.
const WITHDRAWAL_TERM: Duration = Duration::from_secs(5);
/// How long a client waits for an answer.
const ASK_TIMEOUT: Duration = Duration::from_millis(500);

/// Cuts the primary and the edge machine off together, so many times and each time for so long.
pub fn heal(cut: Duration, count: usize) -> Result<HealReport> {
    let deployment = start(Plan::default())?;
    let mut report = Plays::default();
    let mut revision = 1;
    for play in 0..count {
        revision = play_cut(&deployment, cut, play, revision, &mut report)?;
        deployment.wait_until_whole()?;
    }
    Ok(HealReport {
        cut_s: cut.as_secs(),
        false_claims: report.false_claims,
        late_answers: report.late_answers,
        member_current: Figures::of(report.member_current),
        proxy_current: Figures::of(report.proxy_current),
    })
}

#[derive(Default)]
struct Plays {
    false_claims: Vec<String>,
    late_answers: usize,
    member_current: Vec<Duration>,
    proxy_current: Vec<Duration>,
}

/// One cut; the revision after it.
fn play_cut(
    deployment: &Deployment,
    cut: Duration,
    play: usize,
    revision: u64,
    plays: &mut Plays,
) -> Result<u64> {
    let (withdrawn, added) = (format!("withdrawn-{play}"), format!("added-{play}"));
    let operator = deployment.operator();
    operator.apply(&Change::upsert_route(revision, &withdrawn, 1), CHANGE_LIMIT)?;
    wait_until("the route is served", SETTLE_LIMIT, || serves(deployment, &withdrawn))?;
    let primary = deployment.wait_for_primary()?;
    set_partition(deployment, primary, Condition::Held);
    let began = Instant::now();
    let others = deployment.operator_knowing(|index| index != primary).with_try_timeout(TRY_TIMEOUT);
    others.apply(&Change::remove_route(revision + 1, &withdrawn), CHANGE_LIMIT)?;
    let removed = Instant::now();
    let in_force = Change::upsert_route(revision + 2, &added, 1);
    others.apply(&in_force, CHANGE_LIMIT)?;
    let impatient = deployment.operator().with_try_timeout(TRY_TIMEOUT);
    while began.elapsed() < cut {
        plays.false_claims.extend(false_claim(&impatient, deployment.operator_socket(primary), &in_force));
        // The answer counts by when it was asked for.
        let is_late = removed.elapsed() > WITHDRAWAL_TERM;
        if serves(deployment, &withdrawn) && is_late {
            plays.late_answers += 1;
        }
    }
    set_partition(deployment, primary, Condition::Open);
    let healed = Instant::now();
    let is_member_current = || {
        let status = deployment.status(primary);
        status.is_some_and(|status| status.is_fresh() && status.configuration >= in_force.revision)
    };
    let (mut member, mut proxy) = (None, None);
    wait_until("member and proxy are current", SETTLE_LIMIT, || {
        if member.is_none() && is_member_current() {
            member = Some(healed.elapsed());
        }
        if proxy.is_none() && serves(deployment, &added) {
            proxy = Some(healed.elapsed());
        }
        member.is_some() && proxy.is_some()
    })?;
    plays.member_current.extend(member);
    plays.proxy_current.extend(proxy);
    Ok(in_force.revision)
}

/// Changes all paths between the member and the edge machine on one side, and the others; the operator reaches all.
fn set_partition(deployment: &Deployment, member: usize, condition: Condition) {
    let side = [deployment.members[member].machine.id, deployment.edges[0].machine.id];
    let is_outside = |id: &MachineId| !side.contains(id) && *id != deployment.operator_machine.id;
    for machine in side {
        let outside: Vec<MachineId> = deployment.others(machine).into_iter().filter(is_outside).collect();
        deployment.network.set_between(machine, &outside, condition);
    }
}

fn serves(deployment: &Deployment, label: &str) -> bool {
    let path = path(label);
    let request = ClientRequest { path: &path, attempt_id: "h", body: "", timeout: ASK_TIMEOUT };
    deployment.ask(0, &request).is_ok_and(|answer| answer.status() == 200)
}
