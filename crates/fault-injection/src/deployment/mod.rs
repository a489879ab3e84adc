//! Members and edge machines with real programs, and what surrounds them.

mod faults;
mod observe;
mod settings;
mod wiring;

use std::path::{Path, PathBuf};
use std::time::Duration;

use snafu::ResultExt;
use tempfile::TempDir;

use crate::address::AddressBlock;
use crate::error::{Result, SystemSnafu};
use crate::machine::{Machine, MachineId, Port};
use crate::network::Network;
use crate::platform::Platform;
use crate::process::{Process, Signal};
use crate::programs::Programs;
use crate::relay::TcpRelay;
use crate::replica::Replica;

/// The zone of all machines.
const ZONE: &str = "a";
/// The last byte of the address of machine 0.
const FIRST_HOST: u8 = 10;
/// The last byte of the address of the first replica.
const FIRST_REPLICA_HOST: u8 = 200;
/// Calls a second that the platform's list takes.
const LIST_RATE: u32 = 20;
/// Longest time for a deployment to come up, and to be whole again.
pub const SETTLE_LIMIT: Duration = Duration::from_secs(30);
/// Time for a program to end after SIGTERM.
const TERMINATION_LIMIT: Duration = Duration::from_secs(9);

/// What a deployment has.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Machines for members.
    pub members: usize,
    /// How many of them, from the first on, are seeds and run from the beginning.
    pub seeds: usize,
    /// Edge machines.
    pub edges: usize,
    /// Replicas.
    pub replicas: usize,
    /// Machines that may be lost at the same time.
    pub losses: u32,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan { members: 3, seeds: 3, edges: 1, replicas: 1, losses: 1 }
    }
}

/// A member and its disk.
#[derive(Debug)]
pub struct Member {
    /// Its machine.
    pub machine: Machine,
    /// The program.
    pub process: Process,
    /// The folder of its log.
    pub folder: PathBuf,
    has_booted: bool,
}

/// An edge machine.
#[derive(Debug)]
pub struct Edge {
    /// The machine.
    pub machine: Machine,
    /// The agent.
    pub agent: Process,
    /// The proxy.
    pub proxy: Process,
}

/// A whole system. All its programs are killed when it is dropped.
#[derive(Debug)]
pub struct Deployment {
    /// The paths between all machines.
    pub network: Network,
    /// The control plane, with machines that do not run yet.
    pub members: Vec<Member>,
    /// The edge machines.
    pub edges: Vec<Edge>,
    /// The list of replicas.
    pub platform: Platform,
    /// The replicas.
    pub replicas: Vec<Replica>,
    /// The operator's machine.
    pub operator_machine: Machine,
    /// The machine of the platform's list.
    pub platform_machine: Machine,
    plan: Plan,
    seeds: Vec<usize>,
    relays: Vec<TcpRelay>,
    folder: TempDir,
    _addresses: AddressBlock,
}

impl Deployment {
    /// Starts everything and waits until it works.
    pub fn start(plan: Plan) -> Result<Deployment> {
        let mut deployment = Deployment::build(plan)?;
        for index in 0..plan.seeds {
            deployment.start_member(index)?;
        }
        for index in 0..plan.edges {
            deployment.start_edge(index)?;
        }
        deployment.wait_until_whole()?;
        Ok(deployment)
    }

    fn build(plan: Plan) -> Result<Deployment> {
        let programs = Programs::build()?;
        let addresses = AddressBlock::reserve()?;
        let folder = tempfile::Builder::new()
            .prefix("tulipridge-drill-")
            .tempdir()
            .context(SystemSnafu { action: "make a folder" })?;
        let mut machines = MachineFactory { addresses: &addresses, next: 0 };
        let operator_machine = machines.make("operator".to_owned())?;
        let platform_machine = machines.make("platform".to_owned())?;
        let mut members = Vec::new();
        for number in 1..=plan.members {
            members.push(Member::new(machines.make(format!("middle-{number}"))?, &programs, folder.path()));
        }
        let mut edges = Vec::new();
        for number in 1..=plan.edges {
            edges.push(Edge::new(machines.make(format!("edge-{number}"))?, &programs, folder.path()));
        }
        let platform = Platform::start(platform_machine.socket(Port::Api))?;
        let replicas = start_replicas(plan.replicas, &addresses, &platform)?;
        let mut deployment = Deployment {
            network: Network::default(),
            members,
            edges,
            platform,
            replicas,
            operator_machine,
            platform_machine,
            plan,
            seeds: (0..plan.seeds).collect(),
            relays: Vec::new(),
            folder,
            _addresses: addresses,
        };
        deployment.connect()?;
        Ok(deployment)
    }

    /// Starts a member. Only the very first start of a seed is a first boot.
    pub fn start_member(&mut self, index: usize) -> Result<()> {
        let first_boot = index < self.plan.seeds && !self.members[index].has_booted;
        let text = self.member_settings(index, first_boot);
        let member = &mut self.members[index];
        settings::write(self.folder.path(), &member.machine, &text)?;
        member.has_booted = true;
        member.process.start()
    }

    /// Starts agent and proxy of an edge machine.
    pub fn start_edge(&mut self, index: usize) -> Result<()> {
        self.write_edge_settings(index)?;
        self.edges[index].agent.start()?;
        self.edges[index].proxy.start()
    }

    /// Names other members as seeds: agents read them at once, members at their next start.
    pub fn set_seeds(&mut self, seeds: Vec<usize>) -> Result<()> {
        self.seeds = seeds;
        for index in 0..self.edges.len() {
            self.write_edge_settings(index)?;
            self.edges[index].agent.signal(Signal::HUP)?;
        }
        Ok(())
    }
}

/// Makes the machines of a deployment, each with an address of its own.
struct MachineFactory<'a> {
    addresses: &'a AddressBlock,
    next: u8,
}

impl MachineFactory<'_> {
    fn make(&mut self, name: String) -> Result<Machine> {
        let id = MachineId(self.next);
        self.next += 1;
        Machine::new(id, name, self.addresses.address(FIRST_HOST + id.0))
    }
}

/// Starts replicas and lists them.
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

/// A client's request.
#[derive(Clone, Copy, Debug)]
pub struct ClientRequest<'a> {
    /// The path.
    pub path: &'a str,
    /// The client's name for the try.
    pub attempt_id: &'a str,
    /// The body.
    pub body: &'a str,
    /// How long the client waits.
    pub timeout: Duration,
}

impl Member {
    fn new(machine: Machine, programs: &Programs, folder: &Path) -> Member {
        let process = new_process(&programs.member, &machine, "member", folder);
        let folder = folder.join(format!("{}.data", machine.name));
        Member { machine, process, folder, has_booted: false }
    }
}

impl Edge {
    fn new(machine: Machine, programs: &Programs, folder: &Path) -> Edge {
        let agent = new_process(&programs.agent, &machine, "agent", folder);
        let proxy = new_process(&programs.proxy, &machine, "proxy", folder);
        Edge { machine, agent, proxy }
    }
}

fn new_process(binary: &Path, machine: &Machine, program: &str, folder: &Path) -> Process {
    let log = folder.join(format!("{}-{program}.log", machine.name));
    Process::new(binary.to_owned(), settings::path(folder, machine), log)
}
