//! Implements the operator's API for a member.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use async_channel::{Receiver, Sender};
use tulipridge_configuration::number::WeightsRevision;
use tulipridge_protocol::node::NodeId;
use tulipridge_protocol::replication::View;

use crate::api::{ChangeOutcome, ControlPlane, PrimaryStatus, Status};
use crate::change::{self, ChangeAuthority};
use crate::member::Member;
use crate::member_feed::MemberFeed;
use crate::replication::Role;
use crate::singleton::LeaseStatus;
use crate::state::Change;

/// The names of the singleton roles in `/status`.
const SINGLETON_ROLES: [&str; 3] = ["discovery", "index", "rollout"];

/// A change that waits for earlier ones to complete.
struct QueuedChange {
    change: Change,
    outcome_sender: Sender<ChangeOutcome>,
}

/// The operator's interface to a member. Changes are carried out one at a time, each based on the result of the
/// previous one.
pub struct OperatorService {
    name: String,
    node: NodeId,
    member: Rc<Member>,
    member_feed: Rc<MemberFeed>,
    sender: Sender<QueuedChange>,
    queue: Receiver<QueuedChange>,
}

impl OperatorService {
    /// Creates the operator's interface to this member.
    pub fn new(
        name: String,
        node: NodeId,
        member: Rc<Member>,
        member_feed: Rc<MemberFeed>,
    ) -> Rc<OperatorService> {
        let (sender, queue) = async_channel::unbounded();
        Rc::new(OperatorService { name, node, member, member_feed, sender, queue })
    }

    /// Carries out queued changes; does not return.
    pub async fn run(self: Rc<Self>) {
        while let Ok(QueuedChange { change, outcome_sender }) = self.queue.recv().await {
            let outcome = change::carry_out(&*self.member, change).await;
            // Sending fails if the caller has closed its connection.
            let _ = outcome_sender.try_send(outcome);
        }
    }
}

impl ControlPlane for OperatorService {
    fn primary_status(&self) -> PrimaryStatus {
        if let Some(tenure) = self.member.tenure() {
            return PrimaryStatus::Primary { tenure };
        }
        match self.member.redirect_target() {
            Some(primary) => PrimaryStatus::Follower { primary: primary.address() },
            None => PrimaryStatus::Unknown,
        }
    }

    async fn change(&self, change: Change) -> ChangeOutcome {
        let (outcome_sender, outcome) = async_channel::bounded(1);
        if self.sender.try_send(QueuedChange { change, outcome_sender }).is_err() {
            return ChangeOutcome::Unknown;
        }
        outcome.recv().await.unwrap_or(ChangeOutcome::Unknown)
    }

    async fn document(&self) -> Option<Arc<[u8]>> {
        self.member.state_machine().document().await
    }

    fn status(&self) -> Status {
        let names = |nodes: &[NodeId]| nodes.iter().map(NodeId::to_string).collect();
        let (role, view, epoch) = self.member.with_replication(|replication| {
            (replication.role(), replication.view().cloned().unwrap_or_default(), replication.epoch())
        });
        Status {
            node: self.node.to_string(),
            name: self.name.clone(),
            role: role_name(role),
            has_lease: self.member.is_primary(),
            epoch: epoch.0,
            voters: names(&electorate(&view)),
            holders: names(&view.data_replicas),
            primary: self.member.known_primary().map(|node| node.to_string()),
            configuration: self.member_feed.configuration_revision(),
            weights: self.target_revisions(),
            replicas: self.member_feed.replica_count(),
            replica_weights: self.member_feed.replica_weights(),
            cache_index: self.member_feed.index_size(),
            singleton_roles: self.singleton_roles(),
            age_ms: self.member_feed.age().map(|age| age.as_millis() as u64),
            subscribers: self.member_feed.subscriber_count(),
            gateways: self.member_feed.gateway_count(),
        }
    }
}

impl OperatorService {
    fn target_revisions(&self) -> BTreeMap<String, WeightsRevision> {
        self.member_feed.weights().into_iter().map(|weights| (weights.model, weights.target)).collect()
    }

    /// The node that has each singleton role: this member if it holds the lease, otherwise the primary, if it is
    /// known and another member.
    fn singleton_roles(&self) -> BTreeMap<&'static str, String> {
        let primary = self.member.known_primary().filter(|primary| *primary != self.node);
        let lease_holder = self.member.singleton_lease().map(|_| self.node).or(primary);
        let Some(lease_holder) = lease_holder else { return BTreeMap::new() };
        SINGLETON_ROLES.map(|role| (role, lease_holder.to_string())).into()
    }
}

/// The view's voters, followed by the previous ones while an election needs a majority of both.
fn electorate(view: &View) -> Vec<NodeId> {
    let mut voters = view.voters.clone();
    voters.extend(view.previous_voters.iter().filter(|voter| !view.voters.contains(voter)));
    voters
}

fn role_name(role: Role) -> &'static str {
    match role {
        Role::Standby => "standby",
        Role::Voter => "voter",
        Role::Backup => "backup",
        Role::Primary { .. } => "primary",
    }
}
