//! The complete system on loopback for interactive use: control plane, edge machines, replicas that stream and cache
//! prefixes, and the platform's list.
//!
//! The programs are real; only the outside systems are stand-ins. All addresses for clients and operators are
//! fixed ports of 127.0.0.1. A program that has ended is restarted after a delay, so that a user who kills it
//! can observe takeover and recovery.

mod configuration;
mod instructions;
mod monitor;
mod ports;
mod prefix_cache;
mod replica;

use std::thread;
use std::time::Duration;

use self::monitor::Monitor;
pub use self::ports::DemoPorts;
pub use self::prefix_cache::{PrefixCache, PromptSegment, parse_prompt};
use self::replica::DemoReplica;
use crate::client::{Request, call};
use crate::deployment::{Deployment, Topology};
use crate::error::Result;
use crate::stop::StopRequest;
use crate::wait::wait_until;

/// The size of the demo. The deployment starts no replicas; the demo adds replicas with a cache and streams.
const TOPOLOGY: Topology = Topology { members: 3, seeds: 3, edges: 2, replicas: 0, tolerated_losses: 1 };
/// Number of replicas.
const REPLICAS: u8 = 3;
/// Timeout for the first configuration to be acknowledged.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout for the first configuration to be in force at all proxies.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout of a request that checks whether a proxy serves clients.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Time from one observation of the state to the next.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(100);

/// Runs the demo until `stop` is requested, then kills all its programs.
///
/// # Errors
///
/// [`HarnessError::PortInUse`](crate::error::HarnessError::PortInUse) before anything is started, if a port is in use; any
/// other [`HarnessError`](crate::error::HarnessError) of the build, the start or the first configuration.
pub fn run(ports: DemoPorts, stop: &StopRequest) -> Result<()> {
    let listeners = ports.listen()?;
    println!("building and starting ...");
    let mut deployment = Deployment::start(TOPOLOGY)?;
    for number in 0..REPLICAS {
        let replica = DemoReplica::start(number, deployment.replica_address(number))?;
        replica.add_to(&deployment.platform);
    }
    let relays = listeners.start_relays(&deployment);
    deployment.add_relays(relays);
    deployment.operator().apply(&configuration::first(), CHANGE_TIMEOUT)?;
    wait_until("all proxies serve", READY_TIMEOUT, || {
        (0..TOPOLOGY.edges).all(|edge| is_serving(ports, edge))
    })?;
    print!("{}", instructions::text(&deployment, ports));
    let mut monitor = Monitor::start();
    while !stop.is_requested() {
        monitor.observe(&mut deployment)?;
        thread::sleep(OBSERVATION_INTERVAL);
    }
    drop(deployment);
    println!("all programs have ended");
    Ok(())
}

/// Whether a proxy has a configuration and replicas: a request on the first route has status 200.
fn is_serving(ports: DemoPorts, edge: usize) -> bool {
    let headers = [("Host", configuration::HOST), ("Attempt-Id", "start"), ("Token-Count", "0,0")];
    let request =
        Request { method: "POST", target: configuration::CHAT_PATH, headers: &headers, body: b"" };
    call(ports.proxy_address(edge), &request, REQUEST_TIMEOUT)
        .is_ok_and(|response| response.status() == 200)
}
