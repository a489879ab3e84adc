//! Scripted beginnings.

use intercom::node::NodeId;
use tower::replication::Input;

use super::actions::{Action, Bounds, Budget, Ordering, possible};
use super::world::{MS, Setup, World};

/// A script that takes longer has gone wrong.
const MOST_STEPS: usize = 20_000;

/// Bounds that leave only the usual steps.
pub fn usual() -> Bounds {
    Bounds {
        ordering: Ordering::Usual,
        budget: Budget::default(),
        span: u64::MAX / 2,
        depth: usize::MAX,
        down_for: vec![],
        pauses: vec![],
        cuts: vec![],
    }
}

/// Takes usual steps until something holds.
pub fn run_until(world: &mut World, holds: impl Fn(&World) -> bool) {
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
pub fn run_for(world: &mut World, span: u64) {
    let until = world.now + span;
    run_until(world, |world| is_quiet(world) && world.next_due().is_none_or(|(due, _)| due > until));
}

fn is_quiet(world: &World) -> bool {
    world.network.is_empty() && world.members.iter().all(|member| member.disk.pending.is_empty())
}

/// Takes a single action whatever it costs.
pub fn act(world: &mut World, action: Action) {
    world.take(action, &usual());
}

/// Gives a new order to the primary, and waits until it is acknowledged.
pub fn acknowledge_one(world: &mut World) {
    let before = world.history.acknowledged.len();
    let primary = world.primary().expect("there is a primary");
    act(world, Action::Propose(primary));
    run_until(world, |world| world.history.acknowledged.len() > before && is_quiet(world));
}

/// A primary with its lease and one order that was acknowledged; all is quiet.
pub fn steady(setup: Setup) -> World {
    let mut world = World::new(setup);
    run_until(&mut world, |world| world.primary().is_some() && is_quiet(world));
    acknowledge_one(&mut world);
    run_for(&mut world, 400 * MS);
    world
}

/// The holders of the newest view at the primary.
pub fn holders(world: &World) -> Vec<usize> {
    let primary = world.primary().expect("there is a primary");
    let view = world.replication(primary).view().expect("it has a view");
    view.holders.iter().map(|holder| index_of(world, *holder)).collect()
}

fn index_of(world: &World, node: NodeId) -> usize {
    world.members.iter().position(|member| member.node == node).expect("the holder is there")
}

/// The primary was told to end and has not handled anything since.
pub fn leaving(setup: Setup) -> World {
    let mut world = steady(setup);
    let primary = world.primary().expect("there is a primary");
    world.input(primary, Input::Terminate);
    world
}
