//! Thousands of short random histories of a simulated cluster: nothing acknowledged is lost, and after
//! trouble it goes on.

mod support;

use rstest::rstest;
use support::history::{Trouble, play};
use support::simulation::{Fault, Shape};

const HISTORIES: u64 = 250;

fn shape(losses: u32, seeds: usize, machines: usize) -> Shape {
    Shape { losses, seeds, machines, fault: Fault::None }
}

/// Every history holds.
#[rstest]
fn histories_hold(
    #[values((0, 1, 1), (0, 1, 3), (1, 3, 3), (1, 3, 4), (1, 3, 6), (2, 3, 8), (2, 5, 5))] sizes: (
        u32,
        usize,
        usize,
    ),
    #[values(Trouble::DisksStay, Trouble::DisksLost)] trouble: Trouble,
) {
    let (losses, seeds, machines) = sizes;
    let mut acknowledged = 0;
    let mut views = 0;
    for seed in 0..HISTORIES {
        let outcome = play(seed, shape(losses, seeds, machines), trouble);
        assert_eq!(outcome.violation, None, "history {seed} of {sizes:?} with {trouble:?}");
        acknowledged += outcome.acknowledged;
        views += outcome.views;
    }
    println!("{HISTORIES} histories: {acknowledged} acknowledged, {views} views");
    assert!(acknowledged as u64 > HISTORIES && views as u64 > HISTORIES, "the histories do something");
}
