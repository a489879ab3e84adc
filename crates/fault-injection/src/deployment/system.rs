//! A deployment and its start.

use std::net::Ipv4Addr;
use std::path::Path;
use std::time::Duration;

use snafu::ResultExt;
use tempfile::TempDir;

use super::machines::{Edge, Member};
use super::settings_file;
use super::topology::Topology;
use crate::address::AddressBlock;
use crate::error::{IoSnafu, Result};
use crate::machine::{Machine, MachineId, PortPurpose};
use crate::network::Network;
use crate::platform::Platform;
use crate::process::Signal;
use crate::programs::Programs;
use crate::relay::TcpRelay;
use crate::replica::Replica;

/// The zone of all machines.
pub(crate) const ZONE: &str = "a";
/// The last octet of the address of machine 0.
const FIRST_HOST: u8 = 10;
/// The last octet of the address of the first replica.
const FIRST_REPLICA_HOST: u8 = 200;
/// Requests per second that members may send to the platform's list.
pub(super) const LIST_REQUESTS_PER_S: u32 = 20;
/// Timeout for a deployment to converge, after its start or a fault.
pub const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout for a program to exit after SIGTERM.
pub(super) const TERMINATION_TIMEOUT: Duration = Duration::from_secs(9);

/// A running system. Dropping it kills all its programs.
#[derive(Debug)]
pub struct Deployment {
    /// The links between all machines.
    pub network: Network,
    /// The control-plane members, including members that were not started.
    pub members: Vec<Member>,
    /// The edge machines.
    pub edges: Vec<Edge>,
    /// The platform's list of replicas.
    pub platform: Platform,
    /// The stand-in replicas.
    pub replicas: Vec<Replica>,
    /// The operator's machine.
    pub operator_machine: Machine,
    /// The machine of the platform's list.
    pub platform_machine: Machine,
    pub(super) topology: Topology,
    pub(super) seeds: Vec<usize>,
    pub(super) relays: Vec<TcpRelay>,
    pub(super) folder: TempDir,
    addresses: AddressBlock,
}

impl Deployment {
    /// Starts the seeds and the edge machines, and waits until the deployment has converged.
    ///
    /// # Errors
    ///
    /// Any [`HarnessError`](crate::error::HarnessError) of the build, the start or the wait.
    pub fn start(topology: Topology) -> Result<Deployment> {
        let mut deployment = Deployment::build(topology)?;
        for index in 0..topology.seeds {
            deployment.start_member(index)?;
        }
        for index in 0..topology.edges {
            deployment.start_edge(index)?;
        }
        deployment.wait_until_converged()?;
        Ok(deployment)
    }

    fn build(topology: Topology) -> Result<Deployment> {
        let programs = Programs::build()?;
        let addresses = AddressBlock::reserve()?;
        let folder = tempfile::Builder::new()
            .prefix("tulipridge-fault-injection-")
            .tempdir()
            .context(IoSnafu { action: "make a folder" })?;
        let mut machines = MachineFactory { addresses: &addresses, next_id: 0 };
        let operator_machine = machines.create("operator".to_owned())?;
        let platform_machine = machines.create("platform".to_owned())?;
        let mut members = Vec::new();
        for number in 1..=topology.members {
            members.push(Member::new(
                machines.create(format!("middle-{number}"))?,
                &programs,
                folder.path(),
            ));
        }
        let mut edges = Vec::new();
        for number in 1..=topology.edges {
            edges.push(Edge::new(machines.create(format!("edge-{number}"))?, &programs, folder.path()));
        }
        let platform = Platform::start(platform_machine.listen_address(PortPurpose::Api))?;
        let replicas = start_replicas(topology.replicas, &addresses, &platform)?;
        let mut deployment = Deployment {
            network: Network::default(),
            members,
            edges,
            platform,
            replicas,
            operator_machine,
            platform_machine,
            topology,
            seeds: (0..topology.seeds).collect(),
            relays: Vec::new(),
            folder,
            addresses,
        };
        deployment.start_relays()?;
        Ok(deployment)
    }

    /// Starts a member. The settings declare a first boot only at the first start of a seed.
    ///
    /// # Errors
    ///
    /// [`HarnessError::Io`](crate::error::HarnessError::Io) if the settings can't be written or the program can't be started.
    pub fn start_member(&mut self, index: usize) -> Result<()> {
        let is_first_boot = index < self.topology.seeds && !self.members[index].has_booted;
        let text = self.member_settings(index, is_first_boot);
        let member = &mut self.members[index];
        settings_file::write(self.folder.path(), &member.machine, &text)?;
        member.has_booted = true;
        member.process.start()
    }

    /// Starts the agent and the proxy of an edge machine.
    ///
    /// # Errors
    ///
    /// [`HarnessError::Io`](crate::error::HarnessError::Io) if the settings can't be written or a program can't be started.
    pub fn start_edge(&mut self, index: usize) -> Result<()> {
        self.write_edge_settings(index)?;
        self.edges[index].agent.start()?;
        self.edges[index].proxy.start()
    }

    /// The folder with the settings, logs and disks of all programs; dropping the deployment removes it.
    #[must_use]
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// The address at which a stand-in replica may listen; `number` counts from 0.
    pub(crate) fn replica_address(&self, number: u8) -> Ipv4Addr {
        self.addresses.address(FIRST_REPLICA_HOST + number)
    }

    /// Adds relays, which end when the deployment is dropped.
    pub(crate) fn add_relays(&mut self, relays: Vec<TcpRelay>) {
        self.relays.extend(relays);
    }

    /// Replaces the seeds in the settings: agents reload them at once on SIGHUP, members at their next start.
    ///
    /// # Errors
    ///
    /// [`HarnessError::Io`](crate::error::HarnessError::Io) if the settings can't be written or an agent can't be signalled.
    pub fn set_seeds(&mut self, seeds: Vec<usize>) -> Result<()> {
        self.seeds = seeds;
        for index in 0..self.edges.len() {
            self.write_edge_settings(index)?;
            self.edges[index].agent.signal(Signal::HUP)?;
        }
        Ok(())
    }
}

/// Creates the machines of a deployment, each with a separate address.
struct MachineFactory<'a> {
    addresses: &'a AddressBlock,
    next_id: u8,
}

impl MachineFactory<'_> {
    fn create(&mut self, name: String) -> Result<Machine> {
        let id = MachineId(self.next_id);
        self.next_id += 1;
        Machine::new(id, name, self.addresses.address(FIRST_HOST + id.0))
    }
}

/// Starts stand-in replicas and adds them to the platform's list.
fn start_replicas(count: usize, addresses: &AddressBlock, platform: &Platform) -> Result<Vec<Replica>> {
    let mut replicas = Vec::new();
    for number in 0..count {
        let address = addresses.address(FIRST_REPLICA_HOST + number as u8);
        let replica = Replica::start(format!("i-{number}"), address)?;
        platform.add(&replica.id, replica.address, ZONE);
        replicas.push(replica);
    }
    Ok(replicas)
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for member in &mut self.members {
            member.process.kill();
        }
        for edge in &mut self.edges {
            edge.agent.kill();
            edge.proxy.kill();
        }
        self.network.close();
        self.relays.iter().for_each(TcpRelay::wake);
    }
}
