//! A small deployment on loopback: three middle machines, one edge machine, the platform's list, and the operator.
//!
//! Each machine has an address of its own in one block of 127.0.0.0/8, and the ports are alike on all machines, as
//! DEPLOY.md says. The programs are started with the commands of deploy/system.toml.

use std::fs::{self, File};
use std::io::{self, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;
use crate::replica::{Replica, CAPACITY};

pub const HOST: &str = "review.example";
pub const KEY: &str = "k4v7q2m9x1review";
pub const TENANT: &str = "tenant-1";
const ZONE: &str = "zone-a";
/// The name of the edge machine, and the last byte of its address.
const EDGE: &str = "edge-1";
const EDGE_ADDRESS: u8 = 11;

/// The ports that all machines of the deployment share.
#[derive(Clone, Copy)]
struct Ports {
    front_door: u16,
    ready_check: u16,
    control: u16,
    first_spare: u16,
}

/// A process of the project.
struct Process {
    machine: String,
    child: Child,
}

pub struct Deployment {
    root: PathBuf,
    folder: PathBuf,
    block: [u8; 2],
    ports: Ports,
    processes: Vec<Process>,
    record: Arc<Record>,
}

impl Deployment {
    /// Starts the platform's list, three middle machines and the edge machine, with empty disks.
    pub fn start(
        root: &Path,
        folder: &Path,
        replicas: &[Replica],
        record: &Arc<Record>,
    ) -> io::Result<Deployment> {
        let (block, ports) = free_addresses()?;
        let mut deployment = Deployment {
            root: root.to_owned(),
            folder: folder.to_owned(),
            block,
            ports,
            processes: Vec::new(),
            record: record.clone(),
        };
        deployment.serve_list(replicas)?;
        for number in 1..=3 {
            deployment.write_settings(&middle_name(number), number, true)?;
        }
        deployment.write_settings(EDGE, EDGE_ADDRESS, false)?;
        for number in 1..=3 {
            deployment.spawn(&middle_name(number), "tulipridge-control-plane")?;
        }
        deployment.start_edge()?;
        Ok(deployment)
    }

    /// Starts the two programs of an edge machine.
    pub fn start_edge(&mut self) -> io::Result<()> {
        self.spawn(EDGE, "tulipridge-agent")?;
        self.spawn(EDGE, "tulipridge-proxy")
    }

    pub fn front_door(&self) -> SocketAddr {
        self.address(EDGE_ADDRESS, self.ports.front_door)
    }

    /// Sends the configuration until it is taken, then waits until the edge machine is ready.
    pub fn configure(&self, configuration: &str) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(20);
        let mut member = 0;
        loop {
            member = member % 3 + 1;
            let target = self.address(member, self.ports.control);
            match put_settings(target, configuration) {
                Ok(200) => break,
                Ok(400) => return Err("the configuration was refused".to_owned()),
                other if Instant::now() > until => return Err(format!("no acknowledgement: {other:?}")),
                _ => thread::sleep(Duration::from_millis(300)),
            }
        }
        self.record.line("operator: the configuration is acknowledged");
        self.await_ready(Duration::from_secs(20))
    }

    /// Waits until the edge machine answers `GET /ready` with 200.
    pub fn await_ready(&self, limit: Duration) -> Result<(), String> {
        let until = Instant::now() + limit;
        let address = self.address(EDGE_ADDRESS, self.ports.ready_check);
        let request = format!("GET /ready HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
        loop {
            if http::call(address, request.as_bytes()).is_ok_and(|response| response.head.status() == 200) {
                self.record.line(&format!("{EDGE} is ready"));
                return Ok(());
            }
            if Instant::now() > until {
                return Err(format!("{EDGE} did not become ready"));
            }
            thread::sleep(Duration::from_millis(100));
        }
    }

    /// Sends a signal to all processes of the edge machine.
    pub fn signal_edge(&mut self, signal: &str) -> io::Result<()> {
        self.record.line(&format!("disruption: the processes of {EDGE} get SIG{signal}"));
        let pids: Vec<String> = self
            .processes
            .iter()
            .filter(|process| process.machine == EDGE)
            .map(|process| process.child.id().to_string())
            .collect();
        Command::new("kill").arg(format!("-{signal}")).args(&pids).status()?;
        Ok(())
    }

    /// Waits until the killed processes of the edge machine have ended, and forgets them.
    pub fn forget_edge(&mut self) {
        self.processes.retain_mut(|process| {
            let is_edge = process.machine == EDGE;
            if is_edge {
                let _ = process.child.wait();
            }
            !is_edge
        });
    }

    fn address(&self, machine: u8, port: u16) -> SocketAddr {
        (Ipv4Addr::new(127, self.block[0], self.block[1], machine), port).into()
    }

    fn spawn(&mut self, machine: &str, program: &'static str) -> io::Result<()> {
        let settings = self.folder.join(format!("{machine}.yaml"));
        let log = self.folder.join(format!("{machine}.{program}.log"));
        let output = File::options().create(true).append(true).open(&log)?;
        let child = Command::new(format!("target/release/{program}"))
            .current_dir(&self.root)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("TULIPRIDGE_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()?;
        let mut pids = File::options().create(true).append(true).open(self.folder.join("pids"))?;
        writeln!(pids, "{}", child.id())?;
        self.processes.push(Process { machine: machine.to_owned(), child });
        Ok(())
    }

    fn write_settings(&self, name: &str, machine: u8, is_middle: bool) -> io::Result<()> {
        let (class, role) = if is_middle { ("middle", "control") } else { ("edge", "edge") };
        let Ports { front_door, ready_check, control, first_spare } = self.ports;
        let ip = self.address(machine, 0).ip();
        let listen = if is_middle {
            format!("  controlPort: \"{ip}:{control}\"\n")
        } else {
            format!("  frontDoor: \"{ip}:{front_door}\"\n  readyCheck: \"{ip}:{ready_check}\"\n")
        };
        let seeds: String =
            (1..=3).map(|seed| format!("  - \"{}\"\n", self.address(seed, control))).collect();
        let (data, storage) = if is_middle {
            (format!("\"{}\"", self.folder.join(format!("{name}.data")).display()), 128)
        } else {
            ("null".to_owned(), 0)
        };
        let list = self.address(200, self.ports.control);
        let text = format!(
            "nodeName: \"{name}\"\njob: \"my-{class}\"\nmachineType: \"{class}\"\nhandlesRole:\n  - \"{role}\"\n\
             ipAddress: \"{ip}\"\narea: \"{ZONE}\"\nsite: \"region-a\"\nzones:\n  {ZONE}: \"region-a\"\n\
             listenOn:\n{listen}sparePorts:\n  - {first_spare}\n  - {last_spare}\nseedNodes:\n{seeds}\
             firstBoot: true\nlossCounts: {is_middle}\ncaps:\n  cpuPart: 0.25\n  coreCount: 1\n  ramMb: 260\n  \
             fileHandles: 4100\n  bandwidthMbps: 1000.0\n  storageMb: {storage}\ndataFolder: {data}\n\
             finder: \"cloud\"\nwayIn: \"shared_ip\"\nheartbeatMs: 1200\npromises:\n  - \"base\"\n  - \"drain\"\n  \
             - \"config\"\n  - \"retry\"\n  - \"recover\"\n  - \"stream\"\n  - \"tenants\"\nwithstand:\n  \
             machineLosses: 1\n  zones: 0\n  regionLosses: 0\ntimeLimits:\n  seedDelayS: 3\n  recycleAfterS: 2\n  \
             contactMs: 3000\n  confirmMs: 4000\n  syncS: 4\n  emptyMs: 3000\n  leewayS: 8\n  lossSlackMs: 200\n  \
             applyMs: 2000\n  revertSlackMs: 250\n  stretchMs: 5000\n  shutTight: true\n  withdrawMs: 5000\n  \
             retryRatio: 0.2\n  retryWindowS: 10\n  spareTries: 58\n  healS: 12\n  transitMs: 120\n  again_s: 0\n  \
             checksFence: true\n  leaseTermMs: 3000\n  unfreezeMs: 300\n  revisionMs: 12000\n  \
             revisionEverywhereMs: 0\ncloudApi:\n  address: \"{list}\"\n  ratePerS: 47.0\n  tasks: []\n  \
             delayMs: 800\n",
            last_spare = first_spare + 15,
        );
        fs::write(self.folder.join(format!("{name}.yaml")), text)
    }

    /// Serves the platform's list. All replicas stay `ready`.
    fn serve_list(&self, replicas: &[Replica]) -> io::Result<()> {
        let listener = TcpListener::bind(self.address(200, self.ports.control))?;
        let entries: Vec<String> = replicas
            .iter()
            .map(|replica| {
                format!(
                    "{{\"ident\":\"{}\",\"backend\":\"{}\",\"address\":\"{}\",\"area\":\"{ZONE}\",\"revision\":\"v1\",\
                     \"capacity\":{CAPACITY},\"phase\":\"ready\",\"warmLeftMs\":0}}",
                    replica.ident, replica.service, replica.address
                )
            })
            .collect();
        let body = format!("{{\"servers\":[{}],\"nextToken\":null}}", entries.join(","));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let body = body.clone();
                thread::spawn(move || {
                    let mut stream = BufReader::new(stream);
                    while let Ok(Some(_)) = http::read_head(&mut stream) {
                        let response = format!(
                            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                            body.len()
                        );
                        if stream.get_mut().write_all(response.as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Ok(())
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for process in &mut self.processes {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
    }
}

fn middle_name(number: u8) -> String {
    format!("middle-{number}")
}

/// Sends the first configuration to a member and follows up to two redirections. Returns the status.
fn put_settings(member: SocketAddr, configuration: &str) -> io::Result<u16> {
    let mut target = member;
    for _ in 0..3 {
        let request = format!(
            "PUT /settings HTTP/1.1\r\nHost: {target}\r\nIf-Match: 0\r\nContent-Type: application/json\r\n\
             Connection: close\r\nContent-Length: {}\r\n\r\n{configuration}",
            configuration.len()
        );
        let response = http::call(target, request.as_bytes())?;
        let status = response.head.status();
        let location = response.head.get("location").and_then(|location| location.strip_prefix("http://"));
        match location.and_then(|location| location.split('/').next()?.parse().ok()) {
            Some(next) if status == 307 => target = next,
            _ => return Ok(status),
        }
    }
    Ok(307)
}

/// A block 127.a.b.0/24 and ports that are free on the machines' addresses.
fn free_addresses() -> io::Result<([u8; 2], Ports)> {
    let start = std::process::id();
    for attempt in 0..200_u32 {
        let seed = start.wrapping_mul(2_654_435_761).wrapping_add(attempt.wrapping_mul(40_503));
        let block = [(64 + seed % 150) as u8, ((seed >> 8) % 250) as u8];
        let base = 20_000 + (seed >> 4) as u16 % 9_000;
        let ports =
            Ports { front_door: base, ready_check: base + 1, control: base + 2, first_spare: base + 10 };
        let machines = [1, 2, 3, EDGE_ADDRESS, 200];
        let is_free = machines.iter().all(|machine| {
            (base..base + 30).all(|port| {
                TcpListener::bind((Ipv4Addr::new(127, block[0], block[1], *machine), port)).is_ok()
            })
        });
        // The agent of the only edge machine listens for its proxy there.
        let is_free_for_agent = TcpListener::bind((Ipv4Addr::LOCALHOST, base + 13)).is_ok();
        if is_free && is_free_for_agent {
            return Ok((block, ports));
        }
    }
    Err(io::Error::other("no free ports"))
}
