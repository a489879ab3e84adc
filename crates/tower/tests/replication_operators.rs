//! Random histories of operators at a simulated cluster: some order of their calls explains all answers.

mod support;

use rstest::rstest;
use support::history::{Load, Trouble, play_with};
use support::simulation::{Fault, Shape};

const HISTORIES: u64 = 100;

/// Every history can be explained.
#[rstest]
fn operators_histories_hold(
    #[values((0, 1, 1), (1, 3, 3), (1, 3, 4), (2, 5, 5), (2, 5, 8))] sizes: (u32, usize, usize),
    #[values(Trouble::DisksStay, Trouble::DisksLost, Trouble::Replacement, Trouble::ManyChanges)]
    trouble: Trouble,
) {
    let (losses, seeds, machines) = sizes;
    let mut answered = 0;
    for seed in 0..HISTORIES {
        let shape = Shape { losses, seeds, machines, fault: Fault::None };
        let outcome = play_with(seed, shape, trouble, Load::Operators);
        assert_eq!(outcome.violation, None, "history {seed} of {sizes:?} with {trouble:?}");
        answered += outcome.answered;
    }
    println!("{HISTORIES} histories: {answered} answered calls");
    assert!(answered as u64 > HISTORIES, "the operators do something");
}
