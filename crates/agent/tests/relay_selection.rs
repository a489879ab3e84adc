//! Tests the selection of a relay.

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::time::Duration;

use rstest::rstest;
use tulipridge_agent::relay_selection::RelaySelector;
use tulipridge_protocol::feed::ControlNode;
use tulipridge_protocol::node::{Generation, NodeId};

fn address(last: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, last)
}

fn node(last: u8, zone: &str) -> ControlNode {
    ControlNode { id: NodeId::new(address(last), Generation(0)), zone: zone.into() }
}

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn selector(seeds: &[u8]) -> RelaySelector {
    let seeds = seeds.iter().map(|seed| address(*seed)).collect();
    RelaySelector::new("edge-a-1".into(), "a".into(), seeds)
}

/// The selector of the agent `number` in zone `a`.
fn selector_of_agent(number: u32) -> RelaySelector {
    RelaySelector::new(format!("edge-a-{number}"), "a".into(), Vec::new())
}

#[test]
fn no_relay_is_selected_where_no_member_is_known() {
    assert_eq!(selector(&[]).select(&[], at(0)), None);
}

#[test]
fn seeds_are_selected_in_turn_while_no_member_is_known() {
    let mut selector = selector(&[1, 2, 3]);
    let mut attempted = Vec::new();
    for step in 0..6 {
        let seed = selector.select(&[], at(step)).expect("a seed");
        selector.record_failure(seed, false, at(step));
        attempted.push(seed);
    }
    assert_eq!(attempted[..3].iter().collect::<BTreeSet<_>>().len(), 3);
    assert_eq!(attempted[..3], attempted[3..], "the one that failed longest ago is next");
}

#[test]
fn members_of_the_same_zone_rank_before_others() {
    let known = [node(4, "b"), node(5, "a"), node(6, "a"), node(7, "c")];
    let mut selector = selector(&[1]);
    let mut order = Vec::new();
    for step in 0..5 {
        let relay = selector.select(&known, at(step)).expect("a relay");
        selector.record_failure(relay, false, at(step));
        order.push(relay);
    }
    let same_zone: BTreeSet<_> = order[..2].iter().copied().collect();
    assert_eq!(same_zone, BTreeSet::from([address(5), address(6)]));
    assert_eq!(order.iter().collect::<BTreeSet<_>>().len(), 5);
}

#[test]
fn a_seed_whose_zone_is_known_counts_to_its_zone() {
    assert_eq!(selector(&[1, 2, 3]).select(&[node(2, "a")], at(0)), Some(address(2)));
}

#[test]
fn the_selection_does_not_depend_on_the_order_of_known_members() {
    let known: Vec<_> = (1..20).map(|last| node(last, "a")).collect();
    let reversed: Vec<_> = known.iter().rev().cloned().collect();
    assert_eq!(selector(&[3]).select(&known, at(0)), selector(&[9]).select(&reversed, at(0)));
}

/// No member serves more than twice its fair share of agents, whether or not the agents' zone has members.
#[rstest]
#[case::few_in_the_same_zone("a", 4)]
#[case::many_in_another_zone("elsewhere", 20)]
fn agents_spread_over_the_nearest_members(#[case] zone: &str, #[case] members: u8) {
    const AGENTS: u32 = 200;
    let mut known: Vec<_> = (1..=members).map(|last| node(last, zone)).collect();
    known.extend((100..110).filter(|_| zone == "a").map(|last| node(last, "elsewhere")));
    let mut agents: BTreeMap<Ipv4Addr, u32> = BTreeMap::new();
    for number in 0..AGENTS {
        let relay = selector_of_agent(number).select(&known, at(0)).expect("a relay");
        *agents.entry(relay).or_default() += 1;
    }
    let nearest = (1..=members).map(address).collect::<BTreeSet<_>>();
    assert!(agents.keys().all(|relay| nearest.contains(relay)));
    assert_eq!(agents.len(), nearest.len(), "each member has agents");
    let most = agents.values().max().expect("agents");
    assert!(*most <= 2 * AGENTS / u32::from(members), "{agents:?}");
}

#[test]
fn the_departure_of_a_member_moves_only_its_own_agents() {
    let known: Vec<_> = (1..=20).map(|last| node(last, "elsewhere")).collect();
    let departed = address(7);
    let remaining: Vec<_> = known.iter().filter(|node| node.id.address() != departed).cloned().collect();
    for number in 0..200 {
        let mut selector = selector_of_agent(number);
        let before = selector.select(&known, at(0));
        let after = selector.select(&remaining, at(0));
        assert!(before == after || before == Some(departed));
    }
}

#[rstest]
#[case::still_penalised(1, 4, false)]
#[case::over(1, 6, true)]
#[case::second_failure(2, 9, false)]
#[case::second_failure_over(2, 11, true)]
#[case::maximum(20, 19, false)]
#[case::maximum_over(20, 21, true)]
fn a_member_that_failed_ranks_last_during_its_penalty(
    #[case] failures: u32,
    #[case] after_s: u64,
    #[case] expected: bool,
) {
    let known = [node(5, "a"), node(6, "b")];
    let mut selector = selector(&[]);
    (0..failures).for_each(|_| selector.record_failure(address(5), false, at(100)));
    assert_eq!(selector.select(&known, at(100 + after_s)) == Some(address(5)), expected);
}

#[test]
fn consecutive_failures_end_with_freshness() {
    let known = [node(5, "a"), node(6, "b")];
    let mut selector = selector(&[]);
    (0..5).for_each(|_| selector.record_failure(address(5), false, at(100)));
    selector.record_failure(address(5), true, at(200));
    assert_eq!(selector.select(&known, at(206)), Some(address(5)));
}

#[test]
fn a_better_relay_is_preferred_unless_too_early_or_penalised() {
    let known = [node(5, "a"), node(6, "b")];
    let mut selector = selector(&[6]);
    assert_eq!(selector.select(&[], at(10)), Some(address(6)));
    assert!(!selector.prefers_another(address(6), &known, at(11)));
    assert!(selector.prefers_another(address(6), &known, at(13)));
    assert!(!selector.prefers_another(address(5), &known, at(13)));
    selector.record_failure(address(5), false, at(13));
    assert!(!selector.prefers_another(address(6), &known, at(17)));
    assert!(selector.prefers_another(address(6), &known, at(19)));
}

#[test]
fn replaced_seeds_are_not_selected() {
    let mut selector = selector(&[1]);
    selector.set_seeds(vec![address(2)]);
    assert_eq!(selector.select(&[], at(0)), Some(address(2)));
}
