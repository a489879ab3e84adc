//! Scripts that bring a cluster to the initial state of an exploration.

use tulipridge_control_plane::replication::Input;
use tulipridge_protocol::replication::ReplicationMessage;

use super::actions::{Action, Bounds, Budget, Schedule, pairs, possible, split};
use super::cluster::Cluster;
use super::setup::{MS, Setup};

/// Limit on the actions of a script; one that needs more makes no progress.
const MAX_STEPS: usize = 20_000;

/// Bounds that allow only the default schedule.
pub(crate) fn no_deviations() -> Bounds {
    Bounds {
        schedule: Schedule::Default,
        budget: Budget::default(),
        span: u64::MAX / 2,
        depth: usize::MAX,
        down_for: vec![],
        pauses: vec![],
        wait: None,
        cuts: vec![],
        faulty: vec![],
    }
}

/// Follows the default schedule until a condition holds.
pub(crate) fn run_until(cluster: &mut Cluster, holds: impl Fn(&Cluster) -> bool) {
    let bounds = no_deviations();
    for _ in 0..MAX_STEPS {
        if holds(cluster) {
            return;
        }
        let action = possible(cluster, &bounds)[0];
        cluster.take(action, &bounds);
        assert_eq!(cluster.history.violation, None, "a script must not violate an invariant");
    }
    panic!("the script makes no progress");
}

/// Follows the default schedule for a span of time.
pub(crate) fn run_for(cluster: &mut Cluster, span: u64) {
    let until = cluster.now + span;
    run_until(cluster, |cluster| {
        is_quiescent(cluster) && cluster.next_due().is_none_or(|(due, _)| due > until)
    });
}

fn is_quiescent(cluster: &Cluster) -> bool {
    cluster.network.is_empty() && cluster.members.iter().all(|member| member.disk.pending.is_empty())
}

/// Executes a single action, regardless of the budget.
pub(crate) fn take_action(cluster: &mut Cluster, action: Action) {
    cluster.take(action, &no_deviations());
}

/// Submits a new request to the primary, and waits until it is acknowledged.
pub(crate) fn acknowledge_request(cluster: &mut Cluster) {
    let before = cluster.history.acknowledged.len();
    let primary = cluster.primary().expect("there is a primary");
    take_action(cluster, Action::Propose(primary));
    run_until(cluster, |cluster| cluster.history.acknowledged.len() > before && is_quiescent(cluster));
}

/// A primary with a lease and one acknowledged request; the cluster is quiescent.
pub(crate) fn steady(setup: Setup) -> Cluster {
    let mut cluster = Cluster::new(setup);
    run_until(&mut cluster, |cluster| cluster.primary().is_some() && is_quiescent(cluster));
    acknowledge_request(&mut cluster);
    run_for(&mut cluster, 400 * MS);
    cluster
}

/// A request was just submitted to the primary: no disk has it yet, and its entry is in transit to the backup.
pub(crate) fn request_in_flight(setup: Setup) -> Cluster {
    let mut cluster = steady(setup);
    let primary = cluster.primary().expect("there is a primary");
    take_action(&mut cluster, Action::Propose(primary));
    cluster
}

/// The primary was asked to terminate; its release message is in transit.
pub(crate) fn terminating_primary(setup: Setup) -> Cluster {
    let mut cluster = steady(setup);
    let primary = cluster.primary().expect("there is a primary");
    cluster.input(primary, Input::Shutdown);
    cluster
}

/// Members 0 and 1 compete to be primary at the first start. The link between them is cut, and the prepare
/// messages of both to 2 are delayed.
pub(crate) fn competing_candidates(setup: Setup) -> Cluster {
    let mut cluster = Cluster::new(setup);
    cluster.cut(&pairs(2)[0]);
    delay_prepares(&mut cluster, 2);
    cluster
}

/// The lease of 0 expires while 1 is a candidate: the link between them was cut before 0 was isolated, so 1
/// detects the failure earlier than 2, and its prepare message to 2 is delayed.
pub(crate) fn expiring_lease(setup: Setup) -> Cluster {
    let mut cluster = primary_backup_link_cut(setup);
    delay_prepares(&mut cluster, 1);
    let members = cluster.members.len();
    cluster.cut(&split(members, &[0]));
    cluster
}

/// Follows the default schedule, but delays prepare messages to 2, until `count` are delayed.
fn delay_prepares(cluster: &mut Cluster, count: usize) {
    let bounds = no_deviations();
    let node = cluster.members[2].node;
    while cluster.delayed.len() < count {
        let is_delayed = cluster
            .network
            .first()
            .is_some_and(|message| message.envelope.to == node && is_prepare(&message.envelope.message));
        let action = if is_delayed { Action::Delay } else { possible(cluster, &bounds)[0] };
        cluster.take(action, &bounds);
    }
}

fn is_prepare(message: &ReplicationMessage) -> bool {
    matches!(message, ReplicationMessage::Prepare { .. })
}

/// The link between the primary 0 and the backup 1 is cut; 2 is connected to both, so the lease is renewed.
pub(crate) fn primary_backup_link_cut(setup: Setup) -> Cluster {
    let mut cluster = steady(setup);
    cluster.cut(&pairs(2)[0]);
    cluster
}

/// The primary 0 is isolated; its lease has not ended.
pub(crate) fn isolated_primary(setup: Setup) -> Cluster {
    let mut cluster = steady(setup);
    let members = cluster.members.len();
    cluster.cut(&split(members, &[0]));
    cluster
}

/// The primary 0 was isolated for so long that 1 starts a takeover; its first messages are in transit, and the
/// links are restored.
pub(crate) fn takeover(setup: Setup) -> Cluster {
    let mut cluster = isolated_primary(setup);
    run_until(&mut cluster, |cluster| sends(cluster, is_prepare));
    take_action(&mut cluster, Action::Heal);
    cluster
}

/// Backup 1 was isolated and replaced by 2, which has acknowledged a request since. Then the links of 1 are
/// restored and those of 0 are cut, so that only the former and the new backup are connected.
pub(crate) fn stale_backup(setup: Setup) -> Cluster {
    let mut cluster = steady(setup);
    let members = cluster.members.len();
    cluster.cut(&split(members, &[1]));
    run_until(&mut cluster, |cluster| is_quiescent(cluster) && has_backup(cluster, 2));
    acknowledge_request(&mut cluster);
    take_action(&mut cluster, Action::Heal);
    cluster.cut(&split(members, &[0]));
    cluster
}

fn has_backup(cluster: &Cluster, member: usize) -> bool {
    let node = cluster.members[member].node;
    let Some(primary) = cluster.primary() else { return false };
    cluster.replication(primary).view().is_some_and(|view| view.data_replicas.get(1) == Some(&node))
}

/// Backup 1 was isolated and is being replaced by 2: the state is in transit to 2, and the links are restored.
pub(crate) fn backup_replacement(setup: Setup) -> Cluster {
    let mut cluster = steady(setup);
    let members = cluster.members.len();
    cluster.cut(&split(members, &[1]));
    run_until(&mut cluster, |cluster| {
        sends(cluster, |message| matches!(message, ReplicationMessage::Sync { .. }))
    });
    take_action(&mut cluster, Action::Heal);
    cluster
}

/// Voter 2 was isolated and is being replaced by 3: the new view is in transit to the backup, and the links are
/// restored.
pub(crate) fn voter_replacement(setup: Setup) -> Cluster {
    let mut cluster = steady(setup);
    let members = cluster.members.len();
    cluster.cut(&split(members, &[2]));
    run_until(&mut cluster, |cluster| {
        sends(cluster, |message| matches!(message, ReplicationMessage::Install { .. }))
    });
    take_action(&mut cluster, Action::Heal);
    cluster
}

/// The backup lost its disk and has returned under a new generation; the primary is about to install a view with it.
pub(crate) fn wiped_backup(setup: Setup) -> Cluster {
    let mut cluster = steady(setup);
    cluster.take(Action::Wipe { member: 1, down_for: 300 * MS }, &no_deviations());
    let node = cluster.members[1].node;
    run_until(&mut cluster, |cluster| {
        sends(
            cluster,
            |message| matches!(message, ReplicationMessage::Install { view } if view.voters.contains(&node)),
        )
    });
    cluster
}

fn sends(cluster: &Cluster, is_wanted: impl Fn(&ReplicationMessage) -> bool) -> bool {
    cluster.network.iter().any(|message| is_wanted(&message.envelope.message))
}
