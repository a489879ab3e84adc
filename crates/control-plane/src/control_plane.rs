//! What the operator's interface asks of a member.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use async_channel::{Receiver, Sender};
use tulipridge_protocol::node::NodeId;
use tulipridge_protocol::replication::View;

use crate::api::{ChangeOutcome, ControlPlane, Standing, Status};
use crate::change::{self, ChangeAuthority};
use crate::delivery::Delivery;
use crate::member::Member;
use crate::replication::Role;
use crate::singleton::LeaseStatus;
use crate::state::Change;

/// The duties of a primary.
const DUTIES: [&str; 3] = ["discovery", "index", "rollout"];

struct Request {
    change: Change,
    reply: Sender<ChangeOutcome>,
}

/// A member as the operator sees it. Changes are carried out one at a time, each on top of the last.
pub struct OperatorView {
    name: String,
    node: NodeId,
    member: Rc<Member>,
    delivery: Rc<Delivery>,
    requests: Sender<Request>,
    queue: Receiver<Request>,
}

impl OperatorView {
    /// A view of this member.
    pub fn new(name: String, node: NodeId, member: Rc<Member>, delivery: Rc<Delivery>) -> Rc<OperatorView> {
        let (requests, queue) = async_channel::unbounded();
        Rc::new(OperatorView { name, node, member, delivery, requests, queue })
    }

    /// Carries out changes for ever.
    pub async fn run(self: Rc<Self>) {
        while let Ok(Request { change, reply }) = self.queue.recv().await {
            let outcome = change::carry_out(&*self.member, change).await;
            let _ = reply.try_send(outcome);
        }
    }
}

impl ControlPlane for OperatorView {
    fn standing(&self) -> Standing {
        if let Some(tenure) = self.member.tenure() {
            return Standing::Primary { tenure };
        }
        match self.member.redirect_target() {
            Some(primary) => Standing::Follower { primary: primary.address() },
            None => Standing::Unknown,
        }
    }

    async fn change(&self, change: Change) -> ChangeOutcome {
        let (reply, outcome) = async_channel::bounded(1);
        if self.requests.try_send(Request { change, reply }).is_err() {
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
            lease: self.member.is_primary(),
            epoch,
            voters: names(&needed_voters(&view)),
            holders: names(&view.data_replicas),
            primary: self.member.known_primary().map(|node| node.to_string()),
            configuration: self.delivery.revision(),
            weights: self.delivery.weights().into_iter().map(|line| (line.model, line.named)).collect(),
            replicas: self.delivery.replicas(),
            replica_weights: self.delivery.replica_weights(),
            kept_index: self.delivery.index_size(),
            duties: self.duties(),
            age_ms: self.delivery.age().map(|age| age.as_millis() as u64),
            subscribers: self.delivery.subscribers(),
            gateways: self.delivery.gateways(),
        }
    }
}

impl OperatorView {
    fn duties(&self) -> BTreeMap<&'static str, String> {
        let primary = self.member.known_primary().filter(|primary| *primary != self.node);
        let holder = self.member.singleton_lease().map(|_| self.node).or(primary);
        holder.map(|holder| DUTIES.map(|duty| (duty, holder.to_string())).into()).unwrap_or_default()
    }
}

/// The view's voters, and those before them for as long as an election needs a majority of both.
fn needed_voters(view: &View) -> Vec<NodeId> {
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
