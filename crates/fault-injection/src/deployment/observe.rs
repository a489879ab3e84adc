//! What operators and clients see of a deployment.

use std::net::SocketAddr;
use std::time::Duration;

use super::{ClientRequest, Deployment, SETTLE_LIMIT};
use crate::client::{CallError, Message, Request, call};
use crate::error::Result;
use crate::machine::Port;
use crate::operator::{HOST, Operator};
use crate::status::Status;
use crate::wait::{wait_for, wait_until};

impl Deployment {
    /// The operator, who knows all members that run.
    #[must_use]
    pub fn operator(&self) -> Operator {
        self.operator_knowing(|_| true)
    }

    /// An operator who knows some of the members that run.
    pub fn operator_knowing(&self, knows: impl Fn(usize) -> bool) -> Operator {
        let running = (0..self.members.len()).filter(|index| self.is_running(*index) && knows(*index));
        Operator::new(running.map(|index| self.operator_socket(index)).collect())
    }

    /// Where the operator reaches a member.
    #[must_use]
    pub fn operator_socket(&self, index: usize) -> SocketAddr {
        self.operator_machine.socket_toward(&self.members[index].machine, Port::Api)
    }

    /// Whether a member runs.
    #[must_use]
    pub fn is_running(&self, index: usize) -> bool {
        self.members[index].process.pid().is_some()
    }

    /// How a member sees the control plane, whatever the network does; none if it does not answer.
    #[must_use]
    pub fn status(&self, index: usize) -> Option<Status> {
        if !self.is_running(index) {
            return None;
        }
        Status::of(self.members[index].machine.socket(Port::Api))
    }

    /// The member that has the lease.
    #[must_use]
    pub fn primary(&self) -> Option<usize> {
        (0..self.members.len()).find(|index| self.status(*index).is_some_and(|status| status.lease))
    }

    /// Waits for a member with the lease.
    pub fn wait_for_primary(&self) -> Result<usize> {
        wait_for("a member with the lease", SETTLE_LIMIT, || self.primary())
    }

    /// A backup: a member that holds the data and is not the primary.
    pub fn backup(&self) -> Result<usize> {
        wait_for("a backup", SETTLE_LIMIT, || {
            let is_backup =
                |index: &usize| self.status(*index).is_some_and(|status| status.role == "backup");
            (0..self.members.len()).find(is_backup)
        })
    }

    /// Waits until one member has the lease, all that run are fresh and agree, and all proxies are ready.
    pub fn wait_until_whole(&self) -> Result<()> {
        wait_until("the deployment is whole", SETTLE_LIMIT, || {
            self.is_control_plane_whole() && self.are_proxies_ready()
        })
        .inspect_err(|_| eprintln!("{}", self.describe()))
    }

    /// How all members see the control plane, and what all programs have logged, for a person.
    #[must_use]
    pub fn describe(&self) -> String {
        let members = self.members.iter().enumerate().map(|(index, member)| {
            format!("{}: {:?}\n{}", member.machine.name, self.status(index), member.process.log_text())
        });
        let edges = self.edges.iter().map(|edge| {
            format!("{}:\n{}{}", edge.machine.name, edge.agent.log_text(), edge.proxy.log_text())
        });
        members.chain(edges).collect()
    }

    /// Whether one member has the lease, and all that run are fresh, agree on the view and on the configuration, with
    /// holders and voters that all run.
    #[must_use]
    pub fn is_control_plane_whole(&self) -> bool {
        let running: Vec<usize> = (0..self.members.len()).filter(|index| self.is_running(*index)).collect();
        let statuses: Vec<Status> = running.iter().filter_map(|index| self.status(*index)).collect();
        let Some(primary) = statuses.iter().find(|status| status.lease) else { return false };
        let nodes: Vec<&String> = statuses.iter().map(|status| &status.node).collect();
        let losses = self.plan.losses as usize;
        statuses.len() == running.len()
            && primary.holders.len() == (losses + 1).min(running.len())
            && primary.voters.len() >= (2 * losses + 1).min(running.len())
            && primary.holders.iter().all(|node| nodes.contains(&node))
            && statuses.iter().all(|status| {
                status.is_fresh()
                    && status.voters.iter().all(|node| nodes.contains(&node))
                    && status.holders == primary.holders
                    && status.configuration == primary.configuration
                    && status.replicas == self.plan.replicas
            })
    }

    pub(super) fn are_proxies_ready(&self) -> bool {
        // Before the first configuration no proxy can be ready.
        let has_configuration = self
            .primary()
            .and_then(|primary| self.status(primary))
            .is_some_and(|status| status.configuration > 0);
        !has_configuration || (0..self.edges.len()).all(|index| self.is_ready(index))
    }

    /// Whether a proxy says that it is ready.
    #[must_use]
    pub fn is_ready(&self, edge: usize) -> bool {
        let ready = self.edges[edge].machine.socket(Port::Ready);
        call(ready, &Request::get("/ready"), Duration::from_millis(500))
            .is_ok_and(|answer| answer.status() == 200)
    }

    /// Sends a client's request to a proxy.
    pub fn ask(&self, edge: usize, ask: &ClientRequest<'_>) -> Result<Message, CallError> {
        let time_left = ask.timeout.as_millis().to_string();
        let headers =
            [("Host", HOST), ("Attempt-Id", ask.attempt_id), ("Time-Left-Ms", time_left.as_str())];
        let request =
            Request { method: "POST", target: ask.path, headers: &headers, body: ask.body.as_bytes() };
        call(self.edges[edge].machine.socket(Port::Front), &request, ask.timeout)
    }
}
