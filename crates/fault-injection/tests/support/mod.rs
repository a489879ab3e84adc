//! What the tests of whole deployments share.

use std::time::Duration;

use tulipridge_fault_injection::client::CallError;
use tulipridge_fault_injection::deployment::{ClientRequest, Deployment, Plan};
use tulipridge_fault_injection::operator::{Change, path};
use tulipridge_fault_injection::wait::wait_until;

/// Longest time for a change to be acknowledged, with a takeover on the way.
pub(crate) const CHANGE_LIMIT: Duration = Duration::from_secs(15);
/// Longest time for what was acknowledged to be in force at a proxy.
pub(crate) const IN_FORCE_LIMIT: Duration = Duration::from_secs(10);

/// A deployment with its first configuration, revision 1, which has a route `base`.
pub(crate) fn start(plan: Plan) -> Deployment {
    let deployment = Deployment::start(plan).expect("the deployment comes up");
    deployment.operator().apply(&Change::first(0), CHANGE_LIMIT).expect("the first configuration is taken");
    deployment.wait_until_whole().expect("the first configuration is in force");
    deployment
}

/// The status of a proxy's answer to a request on a route.
#[allow(dead_code, reason = "not all tests ask proxies")]
pub(crate) fn ask_status(deployment: &Deployment, edge: usize, label: &str) -> Result<u16, CallError> {
    let path = path(label);
    let timeout = Duration::from_secs(1);
    let request = ClientRequest { path: &path, attempt_id: "a-1", body: "", timeout };
    deployment.ask(edge, &request).map(|answer| answer.status())
}

/// Waits until a proxy serves a route.
#[allow(dead_code, reason = "not all tests ask proxies")]
pub(crate) fn wait_for_route(deployment: &Deployment, edge: usize, label: &str) {
    let is_served = || matches!(ask_status(deployment, edge, label), Ok(200));
    wait_until(&format!("the proxy serves {label}"), IN_FORCE_LIMIT, is_served).expect("a route in force");
}
