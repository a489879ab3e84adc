//! The fleet that a member's feed hands over to a new tenure.

use std::net::Ipv4Addr;
use std::rc::Rc;

use tulipridge_control_plane::member_feed::{MemberFeed, PrimaryTracker};
use tulipridge_control_plane::tenure::Tenure;
use tulipridge_protocol::feed::{Replica, ReplicaPhase};
use tulipridge_protocol::number::Epoch;

const FEED_PORT: u16 = 7_501;

/// A member that knows no primary.
struct NoPrimary;

impl PrimaryTracker for NoPrimary {
    fn confirms_freshness(&self) -> bool {
        false
    }

    fn primary(&self) -> Option<Ipv4Addr> {
        None
    }
}

fn loading() -> Replica {
    Replica {
        id: "i-1".to_owned(),
        service: "chat".to_owned(),
        address: "10.0.0.1:8080".to_owned(),
        zone: "a".to_owned(),
        capacity: 8,
        phase: ReplicaPhase::Loading,
        warm_left_ms: 0,
        models: Vec::new(),
    }
}

#[test]
fn a_fleet_is_inherited_until_one_is_delivered_in_the_tenure() {
    let member_feed = MemberFeed::new("middle-1".to_owned(), "a".to_owned(), FEED_PORT, Rc::new(NoPrimary));
    assert_eq!(member_feed.inherited_fleet(Tenure(Epoch(1))), Some(Vec::new()));
    member_feed.set_fleet(Epoch(7), vec![loading()]);
    assert_eq!(member_feed.inherited_fleet(Tenure(Epoch(8))), Some(vec![loading()]));
    member_feed.set_fleet(Epoch(9), vec![loading()]);
    assert_eq!(member_feed.inherited_fleet(Tenure(Epoch(8))), None, "a later epoch of the same tenure");
    assert_eq!(member_feed.inherited_fleet(Tenure(Epoch(10))), Some(vec![loading()]));
}
