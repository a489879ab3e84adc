//! Towers and edge machines with real programs, and what surrounds them.

use std::path::{Path, PathBuf};
use std::process::ExitStatus;
use std::time::Duration;

use snafu::ResultExt;
use tempfile::TempDir;

use crate::address::AddressBlock;
use crate::client::{CallError, Message, Request, call};
use crate::disk;
use crate::error::{Result, SystemSnafu};
use crate::machine::{Machine, MachineId, Port};
use crate::network::{Condition, Direction, Network};
use crate::operator::{HOST, Operator};
use crate::platform::Platform;
use crate::process::{Process, Signal};
use crate::programs::Programs;
use crate::relay::{Route, TcpRelay, relay_datagrams};
use crate::replica::Replica;
use crate::status::Status;
use crate::wait::{wait_for, wait_until};

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
    /// Machines for towers.
    pub towers: usize,
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
        Plan { towers: 3, seeds: 3, edges: 1, replicas: 1, losses: 1 }
    }
}

/// A tower and its disk.
#[derive(Debug)]
pub struct Tower {
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
    pub porter: Process,
    /// The proxy.
    pub kiosk: Process,
}

/// A whole system. All its programs are killed when it is dropped.
#[derive(Debug)]
pub struct Deployment {
    /// The paths between all machines.
    pub network: Network,
    /// The control plane, with machines that do not run yet.
    pub towers: Vec<Tower>,
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
            deployment.start_tower(index)?;
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
        let mut next = 0;
        let mut machine = |name: String| {
            let id = MachineId(next);
            next += 1;
            Machine::new(id, name, addresses.address(FIRST_HOST + id.0))
        };
        let operator_machine = machine("operator".to_owned())?;
        let platform_machine = machine("platform".to_owned())?;
        let towers = (1..=plan.towers)
            .map(|number| Ok(Tower::new(machine(format!("middle-{number}"))?, &programs, folder.path())));
        let towers = towers.collect::<Result<Vec<Tower>>>()?;
        let edges = (1..=plan.edges)
            .map(|number| Ok(Edge::new(machine(format!("edge-{number}"))?, &programs, folder.path())));
        let edges = edges.collect::<Result<Vec<Edge>>>()?;
        let platform = Platform::start(platform_machine.socket(Port::Api))?;
        let replica = |number: usize| {
            let host = FIRST_REPLICA_HOST + number as u8;
            let replica = Replica::start(format!("i-{number}"), addresses.address(host))?;
            platform.add(&replica.id, replica.address, ZONE);
            Ok(replica)
        };
        let replicas = (0..plan.replicas).map(replica).collect::<Result<Vec<Replica>>>()?;
        let mut deployment = Deployment {
            network: Network::default(),
            towers,
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

    /// Starts the relays between machines.
    fn connect(&mut self) -> Result<()> {
        let mut relays = Vec::new();
        let towers: Vec<&Machine> = self.towers.iter().map(|tower| &tower.machine).collect();
        for to in &towers {
            for from in towers.iter().filter(|from| from.id != to.id) {
                for port in [Port::Control, Port::Feed] {
                    relays.push(self.relay(from.id, from, to, port)?);
                }
                // A tower's redirects name its own port at the other tower: it is the operator who dials it.
                relays.push(self.relay(self.operator_machine.id, from, to, Port::Api)?);
                self.relay_views(from, to)?;
            }
            relays.push(self.relay(self.operator_machine.id, &self.operator_machine, to, Port::Api)?);
            relays.push(self.relay(to.id, to, &self.platform_machine, Port::Api)?);
            for edge in self.edges.iter().map(|edge| &edge.machine) {
                relays.push(self.relay(edge.id, edge, to, Port::Feed)?);
                self.relay_views(edge, to)?;
                self.relay_views(to, edge)?;
            }
        }
        let edges: Vec<&Machine> = self.edges.iter().map(|edge| &edge.machine).collect();
        for to in &edges {
            for from in edges.iter().filter(|from| from.id != to.id) {
                self.relay_views(from, to)?;
            }
        }
        self.relays = relays;
        Ok(())
    }

    /// A relay for what `dialling` dials at the machine `to` with the port numbers of `from`.
    fn relay(&self, dialling: MachineId, from: &Machine, to: &Machine, port: Port) -> Result<TcpRelay> {
        let direction = Direction { from: dialling, to: to.id };
        let route = Route { direction, listen: from.socket_toward(to, port), target: to.socket(port) };
        TcpRelay::start(&self.network, route)
    }

    fn relay_views(&self, from: &Machine, to: &Machine) -> Result<()> {
        let direction = Direction { from: from.id, to: to.id };
        let (listen, target) = (from.socket_toward(to, Port::Views), to.socket(Port::Views));
        relay_datagrams(&self.network, Route { direction, listen, target }, from.address)
    }

    /// Starts a tower. Only the very first start of a seed is a first boot.
    pub fn start_tower(&mut self, index: usize) -> Result<()> {
        let first_boot = index < self.plan.seeds && !self.towers[index].has_booted;
        let text = self.tower_settings(index, first_boot);
        let tower = &mut self.towers[index];
        write_settings(self.folder.path(), &tower.machine, &text)?;
        tower.has_booted = true;
        tower.process.start()
    }

    /// Starts porter and kiosk of an edge machine.
    pub fn start_edge(&mut self, index: usize) -> Result<()> {
        self.write_edge_settings(index)?;
        self.edges[index].porter.start()?;
        self.edges[index].kiosk.start()
    }

    /// Kills a tower, empties its disk and starts it as a newcomer.
    pub fn replace_disk(&mut self, index: usize) -> Result<()> {
        self.towers[index].process.kill();
        disk::wipe(&self.towers[index].folder)?;
        self.start_tower(index)
    }

    /// Ends a tower by SIGTERM.
    pub fn terminate_tower(&mut self, index: usize) -> Result<ExitStatus> {
        self.towers[index].process.terminate(TERMINATION_LIMIT)
    }

    /// Names other towers as seeds: agents read them at once, towers at their next start.
    pub fn set_seeds(&mut self, seeds: Vec<usize>) -> Result<()> {
        self.seeds = seeds;
        for index in 0..self.edges.len() {
            self.write_edge_settings(index)?;
            self.edges[index].porter.signal(Signal::HUP)?;
        }
        Ok(())
    }

    /// All machines but one.
    pub fn others(&self, machine: MachineId) -> Vec<MachineId> {
        let towers = self.towers.iter().map(|tower| tower.machine.id);
        let edges = self.edges.iter().map(|edge| edge.machine.id);
        let around = [self.operator_machine.id, self.platform_machine.id];
        towers.chain(edges).chain(around).filter(|id| *id != machine).collect()
    }

    /// Changes all paths from and to a tower, but for those of the operator.
    pub fn cut_tower(&self, index: usize, condition: Condition) {
        let id = self.towers[index].machine.id;
        let others: Vec<MachineId> =
            self.others(id).into_iter().filter(|other| *other != self.operator_machine.id).collect();
        self.network.set_between(id, &others, condition);
    }

    /// Plays the loss of a tower's power: its machine says nothing any more while it goes on writing for up to
    /// `grace`, then it is killed and loses a random part of what it has written since.
    pub fn lose_power(&mut self, index: usize, grace: Duration) -> Result<Option<disk::Dropped>> {
        let id = self.towers[index].machine.id;
        let others = self.others(id);
        self.network.set_outgoing(id, &others, Condition::Held);
        let folder = self.towers[index].folder.clone();
        let confirmed = disk::Lengths::of(&folder);
        // Whether it writes at all depends on what others send it meanwhile.
        let _ = wait_until("a write", grace, || disk::Lengths::of(&folder) != confirmed);
        self.towers[index].process.kill();
        // What waits at the relays never left the machine.
        self.network.set_outgoing(id, &others, Condition::Reset);
        self.network.set_outgoing(id, &others, Condition::Open);
        disk::drop_unconfirmed(&folder, &confirmed)
    }

    /// The operator, who knows all towers that run.
    pub fn operator(&self) -> Operator {
        self.operator_knowing(|_| true)
    }

    /// An operator who knows some of the towers that run.
    pub fn operator_knowing(&self, knows: impl Fn(usize) -> bool) -> Operator {
        let running = (0..self.towers.len()).filter(|index| self.is_running(*index) && knows(*index));
        Operator::new(running.map(|index| self.operator_socket(index)).collect())
    }

    /// Where the operator reaches a tower.
    pub fn operator_socket(&self, index: usize) -> std::net::SocketAddr {
        self.operator_machine.socket_toward(&self.towers[index].machine, Port::Api)
    }

    /// Whether a tower runs.
    pub fn is_running(&self, index: usize) -> bool {
        self.towers[index].process.pid().is_some()
    }

    /// How a tower sees the control plane, whatever the network does; none if it does not answer.
    pub fn status(&self, index: usize) -> Option<Status> {
        if !self.is_running(index) {
            return None;
        }
        Status::of(self.towers[index].machine.socket(Port::Api))
    }

    /// The tower that has the lease.
    pub fn primary(&self) -> Option<usize> {
        (0..self.towers.len()).find(|index| self.status(*index).is_some_and(|status| status.lease))
    }

    /// Waits for a tower with the lease.
    pub fn wait_for_primary(&self) -> Result<usize> {
        wait_for("a tower with the lease", SETTLE_LIMIT, || self.primary())
    }

    /// A backup: a tower that holds the data and is not the primary.
    pub fn backup(&self) -> Result<usize> {
        wait_for("a backup", SETTLE_LIMIT, || {
            let is_backup =
                |index: &usize| self.status(*index).is_some_and(|status| status.role == "backup");
            (0..self.towers.len()).find(is_backup)
        })
    }

    /// Waits until one tower has the lease, all that run are fresh and agree, and all kiosks are ready.
    pub fn wait_until_whole(&self) -> Result<()> {
        wait_until("the deployment is whole", SETTLE_LIMIT, || {
            self.is_control_plane_whole() && self.are_kiosks_ready()
        })
        .inspect_err(|_| eprintln!("{}", self.describe()))
    }

    /// How all towers see the control plane, and what all programs have logged, for a person.
    pub fn describe(&self) -> String {
        let towers = self.towers.iter().enumerate().map(|(index, tower)| {
            format!("{}: {:?}\n{}", tower.machine.name, self.status(index), tower.process.log_text())
        });
        let edges = self.edges.iter().map(|edge| {
            format!("{}:\n{}{}", edge.machine.name, edge.porter.log_text(), edge.kiosk.log_text())
        });
        towers.chain(edges).collect()
    }

    /// Whether one tower has the lease, and all that run are fresh, agree on the view and on the configuration, with
    /// holders and voters that all run.
    pub fn is_control_plane_whole(&self) -> bool {
        let running: Vec<usize> = (0..self.towers.len()).filter(|index| self.is_running(*index)).collect();
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

    fn are_kiosks_ready(&self) -> bool {
        // Before the first configuration no kiosk can be ready.
        let has_configuration = self
            .primary()
            .and_then(|primary| self.status(primary))
            .is_some_and(|status| status.configuration > 0);
        !has_configuration || (0..self.edges.len()).all(|index| self.is_ready(index))
    }

    /// Whether a kiosk says that it is ready.
    pub fn is_ready(&self, edge: usize) -> bool {
        let ready = self.edges[edge].machine.socket(Port::Ready);
        call(ready, &Request::get("/ready"), Duration::from_millis(500))
            .is_ok_and(|answer| answer.status() == 200)
    }

    /// Sends a client's request to a kiosk.
    pub fn ask(&self, edge: usize, ask: &ClientRequest<'_>) -> Result<Message, CallError> {
        let time_left = ask.timeout.as_millis().to_string();
        let headers =
            [("Host", HOST), ("Attempt-Id", ask.attempt_id), ("Time-Left-Ms", time_left.as_str())];
        let request =
            Request { method: "POST", target: ask.path, headers: &headers, body: ask.body.as_bytes() };
        call(self.edges[edge].machine.socket(Port::Front), &request, ask.timeout)
    }

    fn seed_list(&self) -> String {
        let seed = |index: &usize| self.towers[*index].machine.socket(Port::Api).to_string();
        let seeds: Vec<String> = self.seeds.iter().map(|index| format!("'{}'", seed(index))).collect();
        format!("[{}]", seeds.join(", "))
    }

    fn tower_settings(&self, index: usize, first_boot: bool) -> String {
        let tower = &self.towers[index];
        let platform = tower.machine.socket_toward(&self.platform_machine, Port::Api);
        format!(
            "{}listenOn: {{controlPort: '{}'}}\nfirstBoot: {first_boot}\ndataFolder: '{}'\n\
             cloudApi: {{address: '{platform}', ratePerS: {LIST_RATE}}}\n",
            self.common_settings(&tower.machine),
            tower.machine.socket(Port::Api),
            tower.folder.display(),
        )
    }

    fn write_edge_settings(&self, index: usize) -> Result<()> {
        let machine = &self.edges[index].machine;
        let text = format!(
            "{}listenOn: {{frontDoor: '{}', readyCheck: '{}'}}\n",
            self.common_settings(machine),
            machine.socket(Port::Front),
            machine.socket(Port::Ready),
        );
        write_settings(self.folder.path(), machine, &text)
    }

    fn common_settings(&self, machine: &Machine) -> String {
        format!(
            "nodeName: {}\nipAddress: {}\narea: {ZONE}\nsparePorts: [{}, {}]\nseedNodes: {}\n\
             withstand: {{machineLosses: {}}}\n",
            machine.name,
            machine.address,
            machine.port(Port::Control),
            machine.port(Port::LocalFeed),
            self.seed_list(),
            self.plan.losses,
        )
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for tower in &mut self.towers {
            tower.process.kill();
        }
        for edge in &mut self.edges {
            edge.porter.kill();
            edge.kiosk.kill();
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

impl Tower {
    fn new(machine: Machine, programs: &Programs, folder: &Path) -> Tower {
        let process = process(&programs.tower, &machine, "tower", folder);
        let folder = folder.join(format!("{}.data", machine.name));
        Tower { machine, process, folder, has_booted: false }
    }
}

impl Edge {
    fn new(machine: Machine, programs: &Programs, folder: &Path) -> Edge {
        let porter = process(&programs.porter, &machine, "porter", folder);
        let kiosk = process(&programs.kiosk, &machine, "kiosk", folder);
        Edge { machine, porter, kiosk }
    }
}

fn process(binary: &Path, machine: &Machine, program: &str, folder: &Path) -> Process {
    let log = folder.join(format!("{}-{program}.log", machine.name));
    Process::new(binary.to_owned(), settings_path(folder, machine), log)
}

fn settings_path(folder: &Path, machine: &Machine) -> PathBuf {
    folder.join(format!("{}.yaml", machine.name))
}

fn write_settings(folder: &Path, machine: &Machine, text: &str) -> Result<()> {
    let path = settings_path(folder, machine);
    std::fs::write(&path, text)
        .with_context(|_| SystemSnafu { action: format!("write {}", path.display()) })
}
