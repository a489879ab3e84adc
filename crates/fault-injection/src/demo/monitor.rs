//! Observes the deployment of the demo, prints changes of its state, and restarts programs that have ended.

use std::process::ExitStatus;
use std::time::{Duration, Instant};

use crate::deployment::Deployment;
use crate::error::Result;

/// Time from the detected end of a program to its restart.
const RESTART_DELAY: Duration = Duration::from_secs(3);

/// A program of the deployment, with the index of its member or edge machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Program {
    Member(usize),
    Agent(usize),
    Proxy(usize),
}

/// The observed state, whose changes are printed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct DeploymentState {
    primary: Option<Primary>,
    configuration: Option<u64>,
    replicas: Option<usize>,
    ready_proxies: Vec<bool>,
}

/// The member whose status shows the lease.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Primary {
    name: String,
    epoch: u64,
}

/// Prints changes of a deployment's state, and restarts its programs.
#[derive(Debug)]
pub(super) struct Monitor {
    started_at: Instant,
    last_state: DeploymentState,
    /// Programs that have ended, with the times of their restarts.
    pending_restarts: Vec<(Program, Instant)>,
}

impl Monitor {
    pub(super) fn start() -> Monitor {
        Monitor {
            started_at: Instant::now(),
            last_state: DeploymentState::default(),
            pending_restarts: Vec::new(),
        }
    }

    /// Prints the changes since the last call, and restarts the programs whose restart is due.
    pub(super) fn observe(&mut self, deployment: &mut Deployment) -> Result<()> {
        for (program, status) in take_exits(deployment) {
            let (name, delay) = (program.name(deployment), RESTART_DELAY.as_secs());
            self.log(&format!("{name} has ended ({status}), it is started again in {delay} s"));
            self.pending_restarts.push((program, Instant::now() + RESTART_DELAY));
        }
        let now = Instant::now();
        let (due, waiting) = self.pending_restarts.drain(..).partition(|(_, at)| *at <= now);
        self.pending_restarts = waiting;
        let due: Vec<(Program, Instant)> = due;
        for (program, _) in due {
            program.start(deployment)?;
            let (name, pid) = (program.name(deployment), program.pid(deployment).unwrap_or(0));
            self.log(&format!("{name} is started again, process {pid}"));
        }
        self.print_changes(&DeploymentState::of(deployment), deployment);
        Ok(())
    }

    fn print_changes(&mut self, now: &DeploymentState, deployment: &Deployment) {
        let last = std::mem::replace(&mut self.last_state, now.clone());
        if now.primary != last.primary {
            match &now.primary {
                Some(Primary { name, epoch }) => {
                    self.log(&format!("control plane: {name} is the primary, epoch {epoch}"));
                }
                None => self.log("control plane: no member holds the lease"),
            }
        }
        if let Some(revision) = now.configuration.filter(|_| now.configuration != last.configuration) {
            self.log(&format!("control plane: configuration {revision} is the newest"));
        }
        if let Some(replicas) = now.replicas.filter(|_| now.replicas != last.replicas) {
            self.log(&format!("control plane: {replicas} replicas are known"));
        }
        for (edge, is_ready) in now.ready_proxies.iter().enumerate() {
            if last.ready_proxies.get(edge) != Some(is_ready) {
                let state = if *is_ready { "ready" } else { "not ready" };
                self.log(&format!("{}: proxy is {state}", deployment.edges[edge].machine.name));
            }
        }
    }

    fn log(&self, line: &str) {
        println!("{:8.1} s  {line}", self.started_at.elapsed().as_secs_f64());
    }
}

impl DeploymentState {
    /// The current state. Without a primary, the configuration and the replicas are unknown.
    fn of(deployment: &Deployment) -> DeploymentState {
        let primary = deployment.primary().and_then(|index| Some((index, deployment.status(index)?)));
        let ready_proxies = (0..deployment.edges.len()).map(|edge| deployment.is_ready(edge)).collect();
        let Some((index, status)) = primary else {
            return DeploymentState { ready_proxies, ..DeploymentState::default() };
        };
        let name = deployment.members[index].machine.name.clone();
        DeploymentState {
            primary: Some(Primary { name, epoch: status.epoch }),
            configuration: Some(status.configuration),
            replicas: Some(status.replicas),
            ready_proxies,
        }
    }
}

/// The programs that have ended since the last call, with their exit statuses.
fn take_exits(deployment: &mut Deployment) -> Vec<(Program, ExitStatus)> {
    let members = deployment.members.iter_mut().enumerate();
    let members =
        members.filter_map(|(index, member)| Some((Program::Member(index), member.process.take_exit()?)));
    let mut exits: Vec<(Program, ExitStatus)> = members.collect();
    for (index, edge) in deployment.edges.iter_mut().enumerate() {
        exits.extend(edge.agent.take_exit().map(|status| (Program::Agent(index), status)));
        exits.extend(edge.proxy.take_exit().map(|status| (Program::Proxy(index), status)));
    }
    exits
}

impl Program {
    fn name(self, deployment: &Deployment) -> String {
        match self {
            Program::Member(index) => deployment.members[index].machine.name.clone(),
            Program::Agent(index) => format!("{}: agent", deployment.edges[index].machine.name),
            Program::Proxy(index) => format!("{}: proxy", deployment.edges[index].machine.name),
        }
    }

    fn pid(self, deployment: &Deployment) -> Option<u32> {
        match self {
            Program::Member(index) => deployment.members[index].process.pid(),
            Program::Agent(index) => deployment.edges[index].agent.pid(),
            Program::Proxy(index) => deployment.edges[index].proxy.pid(),
        }
    }

    fn start(self, deployment: &mut Deployment) -> Result<()> {
        match self {
            Program::Member(index) => deployment.start_member(index),
            Program::Agent(index) => deployment.edges[index].agent.start(),
            Program::Proxy(index) => deployment.edges[index].proxy.start(),
        }
    }
}
