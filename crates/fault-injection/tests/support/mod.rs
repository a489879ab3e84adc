//! Helpers for tests of complete deployments.

use std::time::Duration;

use tulipridge_fault_injection::client::CallError;
use tulipridge_fault_injection::deployment::{ClientRequest, Deployment, Topology};
use tulipridge_fault_injection::operator::{Change, route_path};
use tulipridge_fault_injection::wait::wait_until;

/// Timeout for a change to be acknowledged, including a takeover.
pub(crate) const CHANGE_TIMEOUT: Duration = Duration::from_secs(15);
/// Timeout for an acknowledged change to take effect at a proxy.
pub(crate) const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(10);

/// Starts a deployment and applies the first configuration, revision 1, with the route `base`.
pub(crate) fn start(topology: Topology) -> Deployment {
    let deployment = Deployment::start(topology).expect("the deployment starts");
    deployment
        .operator()
        .apply(&Change::first(0), CHANGE_TIMEOUT)
        .expect("the first configuration is accepted");
    deployment.wait_until_converged().expect("the first configuration is in force");
    deployment
}

/// Sends a request on a route to a proxy and returns the status of the response.
#[allow(dead_code, reason = "not all tests send requests to proxies")]
pub(crate) fn request_status(deployment: &Deployment, edge: usize, label: &str) -> Result<u16, CallError> {
    let path = route_path(label);
    let timeout = Duration::from_secs(1);
    let request = ClientRequest { path: &path, attempt_id: "a-1", body: "", timeout };
    deployment.send_request(edge, &request).map(|response| response.status())
}

/// Waits until a proxy serves a route.
#[allow(dead_code, reason = "not all tests send requests to proxies")]
pub(crate) fn wait_for_route(deployment: &Deployment, edge: usize, label: &str) {
    let is_served = || matches!(request_status(deployment, edge, label), Ok(200));
    wait_until(&format!("the proxy serves {label}"), IN_FORCE_TIMEOUT, is_served)
        .expect("the route is in force");
}
