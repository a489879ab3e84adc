//! The table of queued work per replica.

use std::cell::RefCell;
use std::rc::Rc;

use rstest::rstest;
use tulipridge_load_balancer::types::ReplicaId;
use tulipridge_proxy::placement::queued_work::{QueuedWorkTable, work_units};

#[rstest]
#[case::no_tokens(0, 1)]
#[case::less_than_a_unit(1_023, 1)]
#[case::a_unit(1_024, 2)]
#[case::a_long_prompt(17_020, 17)]
fn work_units_follow_from_unread_tokens(#[case] unread_tokens: u32, #[case] expected: u32) {
    assert_eq!(work_units(unread_tokens), expected);
}

#[test]
fn work_counts_until_it_is_dropped_and_each_change_is_reported() {
    let table: Rc<QueuedWorkTable> = Rc::default();
    let reported = Rc::new(RefCell::new(Vec::new()));
    let seen = reported.clone();
    table.on_change(move |waiting| {
        let lines = waiting.iter().map(|(id, units)| format!("{}={units}", id.0)).collect::<Vec<_>>();
        seen.borrow_mut().push(lines.join(" "));
    });
    let (one, two) = (ReplicaId::from("i-1"), ReplicaId::from("i-2"));
    let first = table.add(&one, 3);
    let second = table.add(&one, 4);
    let other = table.add(&two, 1);
    drop(second);
    drop(first);
    drop(other);
    assert_eq!(*reported.borrow(), ["i-1=3", "i-1=7", "i-1=7 i-2=1", "i-1=3 i-2=1", "i-2=1", ""]);
}
