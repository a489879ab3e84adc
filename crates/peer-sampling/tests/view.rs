//! Single steps of the shuffle protocol at one view.

use std::net::Ipv4Addr;

use rstest::rstest;
use tulipridge_peer_sampling::View;
use tulipridge_peer_sampling::view::{CAPACITY, MAX_AGE_TICKS, RESERVED_CONTROL_SLOTS};
use tulipridge_protocol::node::{Generation, NodeId};
use tulipridge_protocol::peer_sampling::{Entry, Role, Shuffle};

fn entry(host: u8, role: Role) -> Entry {
    Entry { id: NodeId::new(address(host), Generation(1)), role, zone: "a".into(), age: 0 }
}

fn address(host: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, host)
}

fn view(seeds: &[u8]) -> View {
    View::new(entry(1, Role::Agent), seeds.iter().map(|seed| address(*seed)).collect(), 7)
}

fn offer(view: &mut View, from: Entry) -> Option<Shuffle> {
    view.handle(from.id.address(), Shuffle::Offer { from, entries: Vec::new() })
}

#[test]
fn an_empty_view_contacts_a_seed_at_each_tick() {
    let mut view = view(&[2, 1]);
    for _ in 0..5 {
        assert_eq!(view.tick().expect("an offer").to, address(2));
    }
}

#[test]
fn no_offer_is_sent_without_an_entry_or_a_seed() {
    assert_eq!(view(&[1]).tick(), None);
}

#[test]
fn seeds_and_others_alternate_without_a_control_plane_member() {
    let mut view = view(&[2]);
    offer(&mut view, entry(3, Role::Agent));
    offer(&mut view, entry(4, Role::Agent));
    let contacted: Vec<_> = (0..4).map(|_| view.tick().expect("an offer").to).collect();
    assert_eq!(contacted[0], address(2));
    assert_ne!(contacted[1], address(2));
    assert_eq!(contacted[2], address(2));
}

#[test]
fn an_unresponsive_process_is_removed() {
    let mut view = view(&[]);
    offer(&mut view, entry(3, Role::Agent));
    assert_eq!(view.tick().expect("an offer").to, address(3));
    assert_eq!(view.entries().len(), 1);
    assert_eq!(view.tick(), None);
    assert!(view.entries().is_empty());
}

#[test]
fn a_responsive_process_stays_while_there_is_a_free_slot() {
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
fn the_freshest_entry_of_a_machine_is_kept(#[case] age: u32, #[case] generation: u64, #[case] kept: u64) {
    let mut view = view(&[]);
    let received =
        |age, generation| Entry { id: NodeId::new(address(3), generation), age, ..entry(3, Role::Agent) };
    for (sender, received) in [(4, received(4, Generation(1))), (5, received(age, Generation(generation)))]
    {
        let from = entry(sender, Role::Agent);
        view.handle(address(sender), Shuffle::Offer { from, entries: vec![received] });
    }
    let known = view.entries().iter().find(|known| known.id.address() == address(3)).expect("the entry");
    assert_eq!(known.id.generation, Generation(kept));
}

#[test]
fn entries_of_the_own_machine_and_old_ones_are_ignored() {
    let mut view = view(&[]);
    let entries = vec![entry(1, Role::Control), Entry { age: MAX_AGE_TICKS + 1, ..entry(5, Role::Agent) }];
    view.handle(address(3), Shuffle::Offer { from: entry(3, Role::Agent), entries });
    assert_eq!(view.entries(), [entry(3, Role::Agent)]);
}

#[test]
fn forged_senders_and_unsolicited_responses_are_ignored() {
    let mut view = view(&[]);
    let offer = Shuffle::Offer { from: entry(3, Role::Agent), entries: Vec::new() };
    assert_eq!(view.handle(address(4), offer), None);
    let response = Shuffle::Reply { from: entry(3, Role::Agent), entries: vec![entry(5, Role::Agent)] };
    assert_eq!(view.handle(address(3), response), None);
    assert!(view.entries().is_empty());
}

#[test]
fn control_members_keep_their_slots_among_many_agents() {
    let mut view = view(&[]);
    for host in 10..10 + RESERVED_CONTROL_SLOTS as u8 {
        offer(&mut view, entry(host, Role::Control));
    }
    for host in 100..200 {
        offer(&mut view, entry(host, Role::Agent));
    }
    assert_eq!(view.control_nodes().len(), RESERVED_CONTROL_SLOTS);
    assert_eq!(view.entries().len(), CAPACITY);
}
