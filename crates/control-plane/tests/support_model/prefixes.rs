//! Scripted beginnings.

use tulipridge_control_plane::replication::Input;
use tulipridge_protocol::replication::ReplicationMessage;

use super::actions::{Action, Bounds, Budget, Ordering, pairs, possible, split};
use super::setup::{MS, Setup};
use super::world::World;

/// A script that takes longer has gone wrong.
const MOST_STEPS: usize = 20_000;

/// Bounds that leave only the usual steps.
pub(crate) fn usual() -> Bounds {
    Bounds {
        ordering: Ordering::Usual,
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

/// Takes usual steps until something holds.
pub(crate) fn run_until(world: &mut World, holds: impl Fn(&World) -> bool) {
    let bounds = usual();
    for _ in 0..MOST_STEPS {
        if holds(world) {
            return;
        }
        let action = possible(world, &bounds)[0];
        world.take(action, &bounds);
        assert_eq!(world.history.violation, None, "the script meets no violation");
    }
    panic!("the script does not get on");
}

/// Takes usual steps for a span.
pub(crate) fn run_for(world: &mut World, span: u64) {
    let until = world.now + span;
    run_until(world, |world| is_quiet(world) && world.next_due().is_none_or(|(due, _)| due > until));
}

fn is_quiet(world: &World) -> bool {
    world.network.is_empty() && world.members.iter().all(|member| member.disk.pending.is_empty())
}

/// Takes a single action whatever it costs.
pub(crate) fn act(world: &mut World, action: Action) {
    world.take(action, &usual());
}

/// Gives a new order to the primary, and waits until it is acknowledged.
pub(crate) fn acknowledge_one(world: &mut World) {
    let before = world.history.acknowledged.len();
    let primary = world.primary().expect("there is a primary");
    act(world, Action::Propose(primary));
    run_until(world, |world| world.history.acknowledged.len() > before && is_quiet(world));
}

/// A primary with its lease and one order that was acknowledged; all is quiet.
pub(crate) fn steady(setup: Setup) -> World {
    let mut world = World::new(setup);
    run_until(&mut world, |world| world.primary().is_some() && is_quiet(world));
    acknowledge_one(&mut world);
    run_for(&mut world, 400 * MS);
    world
}

/// An order was just given to the primary: it is on no disk yet, and on its way to the backup.
pub(crate) fn order_in_flight(setup: Setup) -> World {
    let mut world = steady(setup);
    let primary = world.primary().expect("there is a primary");
    act(&mut world, Action::Propose(primary));
    world
}

/// The primary was told to end; its release is on its way.
pub(crate) fn leaving(setup: Setup) -> World {
    let mut world = steady(setup);
    let primary = world.primary().expect("there is a primary");
    world.input(primary, Input::Terminate);
    world
}

/// Members 0 and 1 want to be primary at the same time, at the first start, and don't hear each other: their
/// first messages to 2 are held up.
pub(crate) fn race(setup: Setup) -> World {
    let mut world = World::new(setup);
    world.cut(&pairs(2)[0]);
    hold_prepares(&mut world, 2);
    world
}

/// The lease of 0 runs out while 1 wants to be primary: 1 has not heard 0 for longer than 2 has, and its message
/// to 2 is held up.
pub(crate) fn expiring_lease(setup: Setup) -> World {
    let mut world = pair_cut(setup);
    hold_prepares(&mut world, 1);
    let members = world.members.len();
    world.cut(&split(members, &[0]));
    world
}

/// Takes usual steps, but holds up messages that ask 2 for a promise, until there are as many.
fn hold_prepares(world: &mut World, count: usize) {
    let bounds = usual();
    let node = world.members[2].node;
    while world.delayed.len() < count {
        let is_held = world
            .network
            .first()
            .is_some_and(|message| message.envelope.to == node && is_prepare(&message.envelope.message));
        let action = if is_held { Action::Delay } else { possible(world, &bounds)[0] };
        world.take(action, &bounds);
    }
}

fn is_prepare(message: &ReplicationMessage) -> bool {
    matches!(message, ReplicationMessage::Prepare { .. })
}

/// The primary 0 and the backup 1 don't hear each other any more; 2 hears both, so the lease goes on.
pub(crate) fn pair_cut(setup: Setup) -> World {
    let mut world = steady(setup);
    world.cut(&pairs(2)[0]);
    world
}

/// The primary 0 hears nobody any more and isn't heard; its lease runs.
pub(crate) fn cut_off(setup: Setup) -> World {
    let mut world = steady(setup);
    let members = world.members.len();
    world.cut(&split(members, &[0]));
    world
}

/// The primary 0 was cut off for so long that 1 begins to take over; its first messages are on their way, and
/// the links work again.
pub(crate) fn takeover(setup: Setup) -> World {
    let mut world = cut_off(setup);
    run_until(&mut world, |world| sends(world, is_prepare));
    act(&mut world, Action::Heal);
    world
}

/// Backup 1 was cut off and exchanged for 2, which has acknowledged an order since; then 0 is cut off in its
/// place, so that the old backup and the new one are among themselves.
pub(crate) fn stale_backup(setup: Setup) -> World {
    let mut world = steady(setup);
    let members = world.members.len();
    world.cut(&split(members, &[1]));
    run_until(&mut world, |world| is_quiet(world) && has_backup(world, 2));
    acknowledge_one(&mut world);
    act(&mut world, Action::Heal);
    world.cut(&split(members, &[0]));
    world
}

fn has_backup(world: &World, member: usize) -> bool {
    let node = world.members[member].node;
    let Some(primary) = world.primary() else { return false };
    world.replication(primary).view().is_some_and(|view| view.data_replicas.get(1) == Some(&node))
}

/// Backup 1 was cut off and is being replaced by 2: the state is on its way to it. Then the links work.
pub(crate) fn exchange(setup: Setup) -> World {
    let mut world = steady(setup);
    let members = world.members.len();
    world.cut(&split(members, &[1]));
    run_until(&mut world, |world| {
        sends(world, |message| matches!(message, ReplicationMessage::Sync { .. }))
    });
    act(&mut world, Action::Heal);
    world
}

/// Voter 2 was cut off and is being replaced by 3: the new view is on its way to the backup. Then the links
/// work.
pub(crate) fn voter_exchange(setup: Setup) -> World {
    let mut world = steady(setup);
    let members = world.members.len();
    world.cut(&split(members, &[2]));
    run_until(&mut world, |world| {
        sends(world, |message| matches!(message, ReplicationMessage::Install { .. }))
    });
    act(&mut world, Action::Heal);
    world
}

/// The backup's disk was lost; it has come back as a newcomer, and the primary is about to take it in.
pub(crate) fn newcomer(setup: Setup) -> World {
    let mut world = steady(setup);
    world.take(Action::Wipe { member: 1, down_for: 300 * MS }, &usual());
    let node = world.members[1].node;
    run_until(&mut world, |world| {
        sends(
            world,
            |message| matches!(message, ReplicationMessage::Install { view } if view.voters.contains(&node)),
        )
    });
    world
}

fn sends(world: &World, is_wanted: impl Fn(&ReplicationMessage) -> bool) -> bool {
    world.network.iter().any(|message| is_wanted(&message.envelope.message))
}
