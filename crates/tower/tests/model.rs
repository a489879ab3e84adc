//! All histories of small clusters within bounds, and promises broken on purpose that must be seen.

mod support_model;

use support_model::actions::{Bounds, Budget, Ordering, isolations, pairs};
use support_model::explorer::{Outcome, explore};
use support_model::prefixes;
use support_model::world::{MS, Setup, World};

fn report(name: &str, outcome: &Outcome) {
    println!(
        "{name}: {} states, {} transitions, {} ends, up to {} primaries and {} acknowledged orders, {:.1} s",
        outcome.states,
        outcome.transitions,
        outcome.ends,
        outcome.primaries,
        outcome.acknowledged,
        outcome.seconds
    );
    if let Some((violation, trace)) = &outcome.violation {
        println!("{violation:?} after {trace:#?}");
    }
}

fn usual(budget: Budget, span: u64) -> Bounds {
    Bounds {
        ordering: Ordering::Usual,
        budget,
        span,
        depth: usize::MAX,
        down_for: vec![0, 900 * MS],
        pauses: vec![700 * MS],
        cuts: [isolations(3), pairs(3)].concat(),
    }
}

#[test]
fn steady_one() {
    let world: World = prefixes::steady(Setup::three());
    let bounds = usual(Budget::one_of_each(1), 1500 * MS);
    let outcome = explore(world, &bounds);
    report("steady, one", &outcome);
    assert!(outcome.violation.is_none());
}
