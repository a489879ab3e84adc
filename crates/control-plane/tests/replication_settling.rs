//! A departing member stays as long as an incomplete view may need its vote.

use std::net::Ipv4Addr;
use std::time::Duration;

use rstest::rstest;
use tulipridge_control_plane::replication::{Departure, DurableState, Replication, ReplicationSettings};
use tulipridge_control_plane::server::departure::may_exit;
use tulipridge_protocol::node::{Generation, NodeId};
use tulipridge_protocol::number::Epoch;
use tulipridge_protocol::replication::View;

const LEEWAY: Duration = Duration::from_secs(8);

fn node(number: u8) -> NodeId {
    NodeId::new(Ipv4Addr::new(10, 0, 0, number), Generation(0))
}

/// The departure state of member 1 if this is the newest view that it knows.
fn departure(voters: &[u8], previous_voters: &[u8]) -> Departure {
    let nodes = |numbers: &[u8]| numbers.iter().map(|number| node(*number)).collect();
    let view = View {
        epoch: Epoch(1 << 32),
        voters: nodes(voters),
        previous_voters: nodes(previous_voters),
        data_replicas: nodes(&[2, 3]),
    };
    let settings = ReplicationSettings {
        node: node(1),
        zone: String::new(),
        seeds: vec![node(1), node(2), node(3)],
        tolerated_failures: 1,
        first_boot: false,
        seed: 0,
    };
    let durable = DurableState { view: Some(view), ..DurableState::default() };
    Replication::new(settings, durable, Duration::ZERO).departure(Duration::ZERO)
}

#[rstest]
#[case::voter(&[1, 2, 3], &[], Departure::Votes)]
#[case::replaced(&[2, 3, 4], &[], Departure::Safe)]
#[case::replaced_in_an_incomplete_view(&[2, 3, 4], &[1, 2, 3], Departure::NeededToCompleteView)]
#[case::voter_of_an_incomplete_view(&[1, 3, 4], &[1, 2, 3], Departure::NeededToCompleteView)]
fn a_vote_that_may_complete_the_view_is_required(
    #[case] voters: &[u8],
    #[case] previous_voters: &[u8],
    #[case] expected: Departure,
) {
    assert_eq!(departure(voters, previous_voters), expected);
}

#[rstest]
#[case::after_the_wait_of_a_voter(2_500, false)]
#[case::just_before_the_kill_margin(7_499, false)]
#[case::at_the_kill_margin(7_500, true)]
fn a_process_waits_until_the_view_is_complete(#[case] waited_ms: u64, #[case] expected: bool) {
    assert_eq!(
        may_exit(Duration::from_millis(waited_ms), LEEWAY, Departure::NeededToCompleteView),
        expected
    );
}
