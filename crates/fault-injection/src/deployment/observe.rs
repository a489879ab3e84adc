//! Requests of operators and clients to a deployment, and its observable state.

use std::net::SocketAddr;
use std::time::Duration;

use super::system::{CONVERGENCE_TIMEOUT, Deployment};
use crate::client::{CallError, Message, Request, call};
use crate::error::Result;
use crate::machine::PortPurpose;
use crate::operator::{HOST, OperatorClient};
use crate::status::Status;
use crate::wait::{wait_for, wait_until};

/// Timeout of a request to a proxy's readiness check.
const READINESS_TIMEOUT: Duration = Duration::from_millis(500);

/// A client's request.
#[derive(Clone, Copy, Debug)]
pub struct ClientRequest<'a> {
    /// The path and query.
    pub path: &'a str,
    /// The value of the header `Attempt-Id`.
    pub attempt_id: &'a str,
    /// The request body.
    pub body: &'a str,
    /// The client's timeout, which is also sent as the header `Time-Left-Ms`.
    pub timeout: Duration,
}

impl Deployment {
    /// An operator that sends requests to all running members.
    #[must_use]
    pub fn operator(&self) -> OperatorClient {
        self.operator_for(|_| true)
    }

    /// An operator that sends requests to the running members that `is_included` selects.
    #[must_use]
    pub fn operator_for(&self, is_included: impl Fn(usize) -> bool) -> OperatorClient {
        let running =
            (0..self.members.len()).filter(|index| self.is_running(*index) && is_included(*index));
        OperatorClient::new(running.map(|index| self.operator_socket(index)).collect())
    }

    /// The address of the relay through which the operator connects to a member.
    #[must_use]
    pub fn operator_socket(&self, index: usize) -> SocketAddr {
        self.operator_machine.address_toward(&self.members[index].machine, PortPurpose::Api)
    }

    /// Whether a member was started and its exit has not been collected.
    #[must_use]
    pub fn is_running(&self, index: usize) -> bool {
        self.members[index].process.pid().is_some()
    }

    /// The status of a member, requested without a relay; `None` if it is not running or does not respond.
    #[must_use]
    pub fn status(&self, index: usize) -> Option<Status> {
        if !self.is_running(index) {
            return None;
        }
        Status::of(self.members[index].machine.listen_address(PortPurpose::Api))
    }

    /// The index of the member whose status shows the lease; `None` if there is none.
    #[must_use]
    pub fn primary(&self) -> Option<usize> {
        (0..self.members.len()).find(|index| self.status(*index).is_some_and(|status| status.has_lease))
    }

    /// Waits for a member with the lease and returns its index.
    ///
    /// # Errors
    ///
    /// [`HarnessError::TimedOut`](crate::error::HarnessError::TimedOut) if there is none in time.
    pub fn wait_for_primary(&self) -> Result<usize> {
        wait_for("a member with the lease", CONVERGENCE_TIMEOUT, || self.primary())
    }

    /// Waits for a backup, a member of the replication group that is not the primary, and returns its index.
    ///
    /// # Errors
    ///
    /// [`HarnessError::TimedOut`](crate::error::HarnessError::TimedOut) if there is none in time.
    pub fn wait_for_backup(&self) -> Result<usize> {
        wait_for("a backup", CONVERGENCE_TIMEOUT, || {
            let is_backup =
                |index: &usize| self.status(*index).is_some_and(|status| status.role == "backup");
            (0..self.members.len()).find(is_backup)
        })
    }

    /// Waits until the control plane has converged and all proxies are ready; prints statuses and logs after a timeout.
    ///
    /// # Errors
    ///
    /// [`HarnessError::TimedOut`](crate::error::HarnessError::TimedOut) if the deployment has not converged in time.
    pub fn wait_until_converged(&self) -> Result<()> {
        wait_until("the deployment has converged", CONVERGENCE_TIMEOUT, || {
            self.is_control_plane_converged() && self.are_proxies_ready()
        })
        .inspect_err(|_| eprintln!("{}", self.describe()))
    }

    /// The status of all members and the logs of all programs, as text for a failure message.
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

    /// Whether one member has the lease, all running members are fresh and agree on the view and the configuration,
    /// and the replication group and the voters are complete and running.
    #[must_use]
    pub fn is_control_plane_converged(&self) -> bool {
        let running: Vec<usize> = (0..self.members.len()).filter(|index| self.is_running(*index)).collect();
        let statuses: Vec<Status> = running.iter().filter_map(|index| self.status(*index)).collect();
        let Some(primary) = statuses.iter().find(|status| status.has_lease) else { return false };
        let nodes: Vec<&String> = statuses.iter().map(|status| &status.node).collect();
        let losses = self.topology.tolerated_losses as usize;
        statuses.len() == running.len()
            && primary.replication_group.len() == (losses + 1).min(running.len())
            && primary.voters.len() >= (2 * losses + 1).min(running.len())
            && primary.replication_group.iter().all(|node| nodes.contains(&node))
            && statuses.iter().all(|status| {
                status.is_fresh()
                    && status.voters.iter().all(|node| nodes.contains(&node))
                    && status.replication_group == primary.replication_group
                    && status.configuration == primary.configuration
                    && status.replicas == self.topology.replicas
            })
    }

    fn are_proxies_ready(&self) -> bool {
        // Before the first configuration no proxy can be ready.
        let has_configuration = self
            .primary()
            .and_then(|primary| self.status(primary))
            .is_some_and(|status| status.configuration > 0);
        !has_configuration || (0..self.edges.len()).all(|index| self.is_ready(index))
    }

    /// Whether the readiness check of a proxy responds with status 200.
    #[must_use]
    pub fn is_ready(&self, edge: usize) -> bool {
        let ready = self.edges[edge].machine.listen_address(PortPurpose::Readiness);
        call(ready, &Request::get("/ready"), READINESS_TIMEOUT)
            .is_ok_and(|response| response.status() == 200)
    }

    /// Sends a client's request to the proxy of an edge machine, without a relay.
    ///
    /// # Errors
    ///
    /// See [`CallError`].
    pub fn send_request(&self, edge: usize, request: &ClientRequest<'_>) -> Result<Message, CallError> {
        let time_left_ms = request.timeout.as_millis().to_string();
        let headers =
            [("Host", HOST), ("Attempt-Id", request.attempt_id), ("Time-Left-Ms", time_left_ms.as_str())];
        let (target, body) = (request.path, request.body.as_bytes());
        let message = Request { method: "POST", target, headers: &headers, body };
        call(self.edges[edge].machine.listen_address(PortPurpose::Clients), &message, request.timeout)
    }
}
