//! Calls to replicas: load commands and requests for reports.

use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

use tulipridge_http1::Http1Limits;
use tulipridge_protocol::feed::ModelRevision;

use super::messages::{CommandOutcome, FencingToken, LoadCommand, ReplicaReport};
use crate::http_client::{Call, CallError, HttpClient};

/// Timeout for the complete response.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Header with the id of the intended replica, since a different one may have the address by now.
const REPLICA_ID_HEADER: &str = "Meant-Server";

/// The id and address of a replica to call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaEndpoint {
    /// The replica's id.
    pub id: String,
    /// The replica's address.
    pub address: SocketAddrV4,
}

/// Sends a command to load `weights` on behalf of the primary named `owner`.
pub(super) async fn send_load_command(
    replica: &ReplicaEndpoint,
    weights: &ModelRevision,
    owner: &str,
    fencing_token: FencingToken,
) -> CommandOutcome {
    let Ok(body) = serde_json::to_vec(&LoadCommand::new(weights, owner, fencing_token)) else {
        return CommandOutcome::Refused;
    };
    let headers = [(REPLICA_ID_HEADER, replica.id.as_str())];
    let call = Call { method: "POST", target: "/order", headers: &headers, body: &body };
    match client(replica.address).call(call, CALL_TIMEOUT).await {
        Ok(response) => CommandOutcome::from_status(response.status),
        // Without a connection the command was not sent.
        Err(CallError::Connect { .. }) => CommandOutcome::Refused,
        Err(CallError::Broken { .. }) => CommandOutcome::Unanswered,
    }
}

/// Fetches a replica's report. Returns `None` if the call fails or the report can't be parsed.
pub(super) async fn fetch_report(address: SocketAddrV4) -> Option<ReplicaReport> {
    let response = client(address).call(Call::get("/report"), CALL_TIMEOUT).await.ok()?;
    if response.status != 200 {
        return None;
    }
    serde_json::from_slice(&response.body).ok()
}

fn client(address: SocketAddrV4) -> HttpClient {
    let limits = Http1Limits { connect_timeout: CONNECT_TIMEOUT, ..Http1Limits::default() };
    HttpClient::new(SocketAddr::V4(address), limits)
}
