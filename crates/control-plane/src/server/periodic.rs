//! Periodic tasks of a member.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use tulipridge_peer_sampling::Exchange;
use tulipridge_protocol::node::NodeId;

use crate::member::Member;
use crate::member_feed::MemberFeed;
use crate::singleton::LeaseStatus;

/// Interval at which the member feed is updated for the current primary and the live members.
const DELIVERY_REVIEW_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which the load of replicas is delivered if it has changed.
const LOADS_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which discovered members are passed to the replication protocol.
const DISCOVERED_MEMBERS_INTERVAL: Duration = Duration::from_secs(1);

/// Passes members that peer sampling has discovered to the replication protocol.
pub(super) async fn update_discovered_members(peer_sampling: Rc<Exchange>, member: Rc<Member>) {
    let mut known = Vec::new();
    loop {
        let mut discovered: Vec<NodeId> =
            peer_sampling.control_nodes().into_iter().map(|node| node.id).collect();
        discovered.sort_unstable();
        if discovered != known {
            member.on_discovered(discovered.clone());
            known = discovered;
        }
        Timer::after(DISCOVERED_MEMBERS_INTERVAL).await;
    }
}

/// Updates the member feed for the current primary and the live members.
pub(super) async fn review_member_feed(member: Rc<Member>, member_feed: Rc<MemberFeed>) {
    loop {
        member_feed.review();
        if member.singleton_lease().is_some() {
            member_feed.set_cluster_membership(member.live_members());
        }
        Timer::after(DELIVERY_REVIEW_INTERVAL).await;
    }
}

/// Delivers the load of replicas, which is their waiting work, while this member has the singleton lease.
pub(super) async fn deliver_loads(member: Rc<Member>, member_feed: Rc<MemberFeed>) {
    loop {
        if let Some(lease) = member.singleton_lease() {
            member_feed.deliver_loads(lease.epoch);
        }
        Timer::after(LOADS_INTERVAL).await;
    }
}
