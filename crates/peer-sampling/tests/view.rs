//! Single steps of a view.

use std::net::Ipv4Addr;

use rstest::rstest;
use tulipridge_peer_sampling::View;
use tulipridge_peer_sampling::view::{CAPACITY, CONTROL_PLACES, MAX_AGE};
use tulipridge_protocol::node::NodeId;
use tulipridge_protocol::peer_sampling::{Entry, Role, Shuffle};

fn entry(last: u8, role: Role) -> Entry {
    Entry { id: NodeId::new(address(last), 1), role, zone: "a".into(), age: 0 }
}

fn address(last: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, last)
}

fn view(seeds: &[u8]) -> View {
    View::new(entry(1, Role::Agent), seeds.iter().map(|seed| address(*seed)).collect(), 7)
}

fn offer(view: &mut View, from: Entry) -> Option<Shuffle> {
    view.handle(from.id.address(), Shuffle::Offer { from, entries: Vec::new() })
}

#[test]
fn an_empty_view_asks_a_seed_again_and_again() {
    let mut view = view(&[2, 1]);
    for _ in 0..5 {
        assert_eq!(view.tick().expect("a request").to, address(2));
    }
}

#[test]
fn nobody_is_asked_where_nobody_is_known() {
    assert_eq!(view(&[1]).tick(), None);
}

#[test]
fn without_a_control_member_seeds_and_others_take_turns() {
    let mut view = view(&[2]);
    offer(&mut view, entry(3, Role::Agent));
    offer(&mut view, entry(4, Role::Agent));
    let asked: Vec<_> = (0..4).map(|_| view.tick().expect("a request").to).collect();
    assert_eq!(asked[0], address(2));
    assert_ne!(asked[1], address(2));
    assert_eq!(asked[2], address(2));
}

#[test]
fn one_that_does_not_answer_is_removed() {
    let mut view = view(&[]);
    offer(&mut view, entry(3, Role::Agent));
    assert_eq!(view.tick().expect("a request").to, address(3));
    assert_eq!(view.entries().len(), 1);
    assert_eq!(view.tick(), None);
    assert!(view.entries().is_empty());
}

#[test]
fn one_that_answers_stays_while_there_is_room() {
    let mut view = view(&[]);
    offer(&mut view, entry(3, Role::Control));
    view.tick();
    view.handle(address(3), Shuffle::Reply { from: entry(3, Role::Control), entries: Vec::new() });
    view.tick();
    assert_eq!(view.entries(), [Entry { age: 1, ..entry(3, Role::Control) }]);
}

#[rstest]
#[case::younger(3, 9, 9)]
#[case::older(5, 9, 1)]
#[case::newer_process(4, 9, 9)]
#[case::earlier_process(4, 0, 1)]
fn the_process_that_told_last_is_kept(#[case] age: u32, #[case] generation: u64, #[case] kept: u64) {
    let mut view = view(&[]);
    let told =
        |age, generation| Entry { id: NodeId::new(address(3), generation), age, ..entry(3, Role::Agent) };
    for (sender, told) in [(4, told(4, 1)), (5, told(age, generation))] {
        let from = entry(sender, Role::Agent);
        view.handle(address(sender), Shuffle::Offer { from, entries: vec![told] });
    }
    let known = view.entries().iter().find(|known| known.id.address() == address(3)).expect("the entry");
    assert_eq!(known.id.generation, kept);
}

#[test]
fn what_is_told_of_oneself_or_is_too_old_is_ignored() {
    let mut view = view(&[]);
    let entries = vec![entry(1, Role::Control), Entry { age: MAX_AGE + 1, ..entry(5, Role::Agent) }];
    view.handle(address(3), Shuffle::Offer { from: entry(3, Role::Agent), entries });
    assert_eq!(view.entries(), [entry(3, Role::Agent)]);
}

#[test]
fn a_message_for_another_machine_and_a_reply_to_nothing_are_ignored() {
    let mut view = view(&[]);
    let offer = Shuffle::Offer { from: entry(3, Role::Agent), entries: Vec::new() };
    assert_eq!(view.handle(address(4), offer), None);
    let reply = Shuffle::Reply { from: entry(3, Role::Agent), entries: vec![entry(5, Role::Agent)] };
    assert_eq!(view.handle(address(3), reply), None);
    assert!(view.entries().is_empty());
}

#[test]
fn control_members_keep_their_places_among_many_agents() {
    let mut view = view(&[]);
    for last in 10..10 + CONTROL_PLACES as u8 {
        offer(&mut view, entry(last, Role::Control));
    }
    for last in 100..200 {
        offer(&mut view, entry(last, Role::Agent));
    }
    assert_eq!(view.control_nodes().len(), CONTROL_PLACES);
    assert_eq!(view.entries().len(), CAPACITY);
}
