//! Starts the programs of the deploy file on loopback addresses, with stand-ins for the platform, the replicas, the
//! operator and the clients. Uses the standard library alone.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const HOST: &str = "shop.example";
pub const SERVICE: &str = "lm";
pub const MODEL: &str = "model-a";
pub const ZONE: &str = "hall-a";

pub type Any<T> = Result<T, Box<dyn std::error::Error + Send + Sync>>;

/// The record of what was sent, answered and run; one line an event, with the time since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create() -> io::Result<Record> {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
        Ok(Record { start: Instant::now(), file: Arc::new(Mutex::new(File::create(path)?)) })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.3} s  {}", text.as_ref());
        let _ = file.flush();
    }
}

/// Whether the disruption is made; `TROUBLE=0` leaves it out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// A small generator of pseudorandom numbers, seeded by the time of day and the process id.
pub fn random() -> u64 {
    static STATE: AtomicU64 = AtomicU64::new(0);
    if STATE.load(Ordering::Relaxed) == 0 {
        let nanos = SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |time| time.as_nanos() as u64);
        STATE.store(nanos ^ (u64::from(std::process::id()) << 32) | 1, Ordering::Relaxed);
    }
    let mut x = STATE.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

// ---------------------------------------------------------------------------------------------------------------- HTTP

/// A message: its start line, its headers with lower-case names, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// Whether the message is complete by its framing.
    pub is_complete: bool,
}

impl Message {
    pub fn get(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads a message. An answer without a length ends with its connection. Returns what was read if it breaks off in the
/// body.
pub fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>, is_answer: bool) -> io::Result<Message> {
    let end = loop {
        if let Some(end) = find(buffer, b"\r\n\r\n") {
            break end;
        }
        if fill(stream, buffer)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let start = lines.next().unwrap_or("").to_owned();
    let headers: BTreeMap<String, String> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let mut message = Message { start, headers, body: Vec::new(), is_complete: false };
    let length: Option<usize> = message.get("content-length").parse().ok();
    if message.get("transfer-encoding").eq_ignore_ascii_case("chunked") {
        message.is_complete = read_chunked(stream, buffer, &mut message.body);
    } else if let Some(length) = length {
        while buffer.len() < length && matches!(fill(stream, buffer), Ok(1..)) {}
        message.is_complete = buffer.len() >= length;
        let taken = length.min(buffer.len());
        message.body = buffer.drain(..taken).collect();
    } else if is_answer && !matches!(message.status(), 204 | 304) {
        message.is_complete = loop {
            match fill(stream, buffer) {
                Ok(0) => break true,
                Ok(_) => {}
                Err(_) => break false,
            }
        };
        message.body = std::mem::take(buffer);
    } else {
        message.is_complete = true;
    }
    Ok(message)
}

fn read_chunked(stream: &mut TcpStream, buffer: &mut Vec<u8>, body: &mut Vec<u8>) -> bool {
    loop {
        let Some(end) = find(buffer, b"\r\n") else {
            if matches!(fill(stream, buffer), Ok(1..)) {
                continue;
            }
            return false;
        };
        let line = String::from_utf8_lossy(&buffer[..end]).into_owned();
        let Ok(size) = usize::from_str_radix(line.trim(), 16) else { return false };
        while buffer.len() < end + 2 + size + 2 {
            if !matches!(fill(stream, buffer), Ok(1..)) {
                let from = (end + 2).min(buffer.len());
                body.extend_from_slice(&buffer[from..]);
                return false;
            }
        }
        body.extend_from_slice(&buffer[end + 2..end + 2 + size]);
        buffer.drain(..end + 2 + size + 2);
        if size == 0 {
            return true;
        }
    }
}

fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<usize> {
    let mut bytes = [0; 16384];
    loop {
        match stream.read(&mut bytes) {
            Ok(count) => {
                buffer.extend_from_slice(&bytes[..count]);
                return Ok(count);
            }
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
}

pub fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}

/// Sends a request on a new connection and reads the answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.write_all(&request(method, path, headers, body))?;
    read_message(&mut stream, &mut Vec::new(), true)
}

/// Encodes a request.
pub fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        text.push_str(&format!("Host: {HOST}\r\n"));
    }
    if !body.is_empty() || method != "GET" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Serves each connection in a thread of its own.
pub fn serve(listener: TcpListener, handle: impl Fn(TcpStream) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            let _ = stream.set_nodelay(true);
            thread::spawn(move || handle(stream));
        }
    });
}

pub fn write_json(stream: &mut TcpStream, status: &str, body: &str) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes())
}

// ------------------------------------------------------------------------------------------------------------ platform

/// An entry of the platform's list.
#[derive(Clone, Debug)]
pub struct Listed {
    pub ident: String,
    pub address: SocketAddr,
    pub service: String,
    pub revision: u64,
    pub phase: &'static str,
}

/// The platform's list.
#[derive(Clone, Default)]
pub struct Platform {
    pub entries: Arc<Mutex<Vec<Listed>>>,
}

impl Platform {
    pub fn start(address: SocketAddr) -> io::Result<Platform> {
        let platform = Platform::default();
        let served = platform.clone();
        serve(TcpListener::bind(address)?, move |mut stream| {
            let mut buffer = Vec::new();
            while read_message(&mut stream, &mut buffer, false).is_ok() {
                let entries: Vec<String> = served
                    .entries
                    .lock()
                    .unwrap()
                    .iter()
                    .map(|entry| {
                        format!(
                            "{{\"backend\":\"{}\",\"address\":\"{}\",\"area\":\"{ZONE}\",\"revision\":\"v1\",\
                             \"capacity\":64,\"phase\":\"{}\",\"warmLeftMs\":0,\"half\":\"either\",\
                             \"llms\":[{{\"label\":\"{MODEL}\",\"revision\":{},\"addons\":[]}}],\"ident\":\"{}\"}}",
                            entry.service, entry.address, entry.phase, entry.revision, entry.ident
                        )
                    })
                    .collect();
                let body = format!("{{\"servers\":[{}],\"nextToken\":null}}", entries.join(","));
                if write_json(&mut stream, "200 OK", &body).is_err() {
                    return;
                }
            }
        });
        Ok(platform)
    }

    pub fn add(&self, ident: &str, address: SocketAddr) {
        self.add_to(SERVICE, ident, address);
    }

    pub fn add_to(&self, service: &str, ident: &str, address: SocketAddr) {
        let entry = Listed {
            ident: ident.to_owned(),
            address,
            service: service.to_owned(),
            revision: 1,
            phase: "ready",
        };
        self.entries.lock().unwrap().push(entry);
    }
}

// ----------------------------------------------------------------------------------------------------------- processes

/// A process of the system.
pub struct Process {
    pub name: String,
    program: &'static str,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    fn new(name: String, program: &'static str, settings: PathBuf, folder: &std::path::Path) -> Process {
        let log = folder.join(format!("{name}.log"));
        Process { name, program, settings, log, child: None }
    }

    pub fn start(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(self.program);
        command.env_clear();
        for variable in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(variable) {
                command.env(variable, value);
            }
        }
        if let Some(value) = std::env::var_os("RUST_LOG") {
            command.env("RUST_LOG", value);
        }
        command.env("TULIPRIDGE_SETTINGS", &self.settings);
        command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log);
        self.child = Some(command.spawn()?);
        Ok(())
    }

    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// The exit status if the process has ended by itself.
    pub fn ended(&mut self) -> Option<std::process::ExitStatus> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        Some(status)
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn signal(&self, signal: &str) {
        if let Some(pid) = self.pid() {
            let _ = Command::new("kill").arg(format!("-{signal}")).arg(pid.to_string()).status();
        }
    }

    pub fn log_tail(&self, lines: usize) -> String {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        let all: Vec<&str> = text.lines().collect();
        all[all.len().saturating_sub(lines)..].join("\n")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

pub struct Member {
    pub ip: Ipv4Addr,
    pub process: Process,
}

pub struct Edge {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub agent: Process,
    pub proxy: Process,
}

/// Members of the control plane and edge machines on loopback addresses of one block.
pub struct Deployment {
    pub folder: PathBuf,
    pub block: [u8; 3],
    pub port: u16,
    pub members: Vec<Member>,
    pub edges: Vec<Edge>,
    pub platform: Platform,
    pub record: Record,
}

const FRONT: u16 = 10;
const READY: u16 = 11;
const CONTROL: u16 = 12;
const LIST: u16 = 13;
const PORTS_A_MACHINE: u16 = 16;

impl Deployment {
    /// Starts `members` control-plane members and `edges` edge machines.
    pub fn start(record: &Record, members: usize, edges: usize) -> Any<Deployment> {
        let folder = std::env::temp_dir().join(format!("review-2-{}-{:x}", std::process::id(), random() as u32));
        fs::create_dir_all(&folder)?;
        let (block, port) = free_block(members, edges)?;
        let platform = Platform::start(SocketAddr::from(([block[0], block[1], block[2], 200], port + LIST)))?;
        let mut deployment = Deployment {
            folder,
            block,
            port,
            members: Vec::new(),
            edges: Vec::new(),
            platform,
            record: record.clone(),
        };
        for index in 0..members {
            let ip = deployment.ip(11 + index as u8);
            let settings = deployment.folder.join(format!("middle-{index}.yaml"));
            let folder = &deployment.folder;
            let program = "target/release/tulipridge-control-plane";
            let process = Process::new(format!("middle-{index}"), program, settings, folder);
            deployment.members.push(Member { ip, process });
        }
        for index in 0..edges {
            let ip = deployment.ip(101 + index as u8);
            let port = deployment.edge_port(index);
            let settings = deployment.folder.join(format!("edge-{index}.yaml"));
            let folder = &deployment.folder;
            let (agent, proxy) = ("target/release/tulipridge-agent", "target/release/tulipridge-proxy");
            deployment.edges.push(Edge {
                front: SocketAddr::from((ip, port + FRONT)),
                ready: SocketAddr::from((ip, port + READY)),
                agent: Process::new(format!("edge-{index}-agent"), agent, settings.clone(), folder),
                proxy: Process::new(format!("edge-{index}-proxy"), proxy, settings, folder),
            });
        }
        deployment.start_feed_relays()?;
        for index in 0..members {
            deployment.write_member_settings(index, true)?;
            deployment.members[index].process.start()?;
        }
        for index in 0..edges {
            deployment.write_edge_settings(index)?;
            deployment.edges[index].agent.start()?;
            deployment.edges[index].proxy.start()?;
        }
        record.line(format!("started {members} members of the control plane and {edges} edge machines"));
        Ok(deployment)
    }

    pub fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(self.block[0], self.block[1], self.block[2], host)
    }

    /// The first port of an edge machine. All machines share one loopback interface, and an agent serves its proxy at
    /// 127.0.0.1, so the ports of edge machines differ.
    fn edge_port(&self, index: usize) -> u16 {
        self.port + PORTS_A_MACHINE * index as u16
    }

    /// Relays the subscriptions of edge machines whose ports are not those of the members.
    fn start_feed_relays(&self) -> io::Result<()> {
        for index in 1..self.edges.len() {
            for member in &self.members {
                let listen = SocketAddr::from((member.ip, self.edge_port(index) + 1));
                let target = SocketAddr::from((member.ip, self.port + 1));
                serve(TcpListener::bind(listen)?, move |stream| relay(stream, target));
            }
        }
        Ok(())
    }

    fn common(&self, name: &str, ip: Ipv4Addr, port: u16, class: &str) -> String {
        let seeds: Vec<String> = self
            .members
            .iter()
            .take(3)
            .map(|member| format!("  - \"{}:{}\"\n", member.ip, self.port + CONTROL))
            .collect();
        format!(
            "nodeName: \"{name}\"\njob: \"{class}\"\nmachineType: \"{class}\"\nipAddress: \"{ip}\"\narea: \"{ZONE}\"\n\
             site: \"town\"\nzones:\n  {ZONE}: \"town\"\nsparePorts:\n  - {port}\n  - {}\nseedNodes:\n{}\
             lossCounts: true\ncaps:\n  cpuPart: 0.25\n  coreCount: 1\n  ramMb: 260\n  fileHandles: 4100\n\
             withstand:\n  machineLosses: 1\n  zones: 0\n  regionLosses: 0\n\
             cloudApi:\n  address: \"{}:{}\"\n  ratePerS: 47.0\n  tasks: []\n  delayMs: 800\n",
            port + 7,
            seeds.concat(),
            self.ip(200),
            self.port + LIST,
        )
    }

    pub fn write_member_settings(&self, index: usize, is_first_boot: bool) -> io::Result<()> {
        let member = &self.members[index];
        let text = format!(
            "{}listenOn:\n  controlPort: \"{}:{}\"\nfirstBoot: {is_first_boot}\ndataFolder: \"{}\"\n",
            self.common(&member.process.name, member.ip, self.port, "middle"),
            member.ip,
            self.port + CONTROL,
            self.folder.join(format!("{}.data", member.process.name)).display(),
        );
        fs::write(&member.process.settings, text)
    }

    fn write_edge_settings(&self, index: usize) -> io::Result<()> {
        let edge = &self.edges[index];
        let SocketAddr::V4(front) = edge.front else { return Ok(()) };
        let text = format!(
            "{}listenOn:\n  frontDoor: \"{}\"\n  readyCheck: \"{}\"\nfirstBoot: false\n",
            self.common(&format!("edge-{index}"), *front.ip(), self.edge_port(index), "edge"),
            edge.front,
            edge.ready,
        );
        fs::write(&edge.proxy.settings, text)
    }

    pub fn control_address(&self, index: usize) -> SocketAddr {
        SocketAddr::from((self.members[index].ip, self.port + CONTROL))
    }

    /// The operator's call: tries one member after the other and follows redirects, until it has a clear answer.
    pub fn order(&self, method: &str, path: &str, base: Option<u64>, body: &str, limit: Duration) -> Any<Message> {
        let until = Instant::now() + limit;
        let mut member = 0;
        loop {
            let mut address = self.control_address(member % self.members.len());
            member += 1;
            for _ in 0..3 {
                let base = base.map(|base| base.to_string()).unwrap_or_default();
                let mut headers = vec![("Content-Type", "application/json")];
                if !base.is_empty() {
                    headers.push(("If-Match", base.as_str()));
                }
                let Ok(answer) = call(address, method, path, &headers, body.as_bytes(), Duration::from_secs(1))
                else {
                    break;
                };
                match answer.status() {
                    307 => {
                        let target = answer.get("location").trim_start_matches("http://").to_owned();
                        match target.split('/').next().unwrap_or("").parse() {
                            Ok(next) => address = next,
                            Err(_) => break,
                        }
                    }
                    408 | 429 | 500..=599 => break,
                    _ => return Ok(answer),
                }
            }
            if Instant::now() >= until {
                return Err(format!("{method} {path}: no clear answer within {limit:?}").into());
            }
            thread::sleep(Duration::from_millis(150));
        }
    }

    /// Puts a configuration and waits for its acknowledgement.
    pub fn put(&self, base: u64, configuration: &str) -> Any<u16> {
        let answer = self.order("PUT", "/settings", Some(base), configuration, Duration::from_secs(20))?;
        self.record.line(format!("operator: PUT /settings on {base} -> {} {}", answer.status(), answer.text()));
        Ok(answer.status())
    }

    /// Waits until each proxy says that it is ready.
    pub fn wait_ready(&self) -> Any<()> {
        let until = Instant::now() + Duration::from_secs(20);
        for edge in &self.edges {
            while call(edge.ready, "GET", "/ready", &[], b"", Duration::from_millis(500))
                .map_or(0, |answer| answer.status())
                != 200
            {
                if Instant::now() >= until {
                    return Err("a proxy is not ready in time".into());
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        self.record.line("all proxies are ready");
        Ok(())
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for edge in &mut self.edges {
            edge.proxy.kill();
            edge.agent.kill();
        }
        for member in &mut self.members {
            member.process.kill();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Finds a block 127.a.b.0/24 and a range of ports that are free on it and on 127.0.0.1.
fn free_block(members: usize, edges: usize) -> Any<([u8; 3], u16)> {
    for _ in 0..500 {
        let block = [127, (random() % 253 + 1) as u8, (random() % 253 + 1) as u8];
        let count = PORTS_A_MACHINE * edges.max(1) as u16;
        let port = 20_000 + (random() % 700) as u16 * 16;
        let hosts = (0..members as u8).map(|index| 11 + index).chain([200]).chain((0..edges as u8).map(|i| 101 + i));
        let is_free = |ip: Ipv4Addr, port: u16| TcpListener::bind(SocketAddrV4::new(ip, port)).is_ok();
        let mut ips: Vec<Ipv4Addr> =
            hosts.map(|host| Ipv4Addr::new(block[0], block[1], block[2], host)).collect();
        ips.push(Ipv4Addr::LOCALHOST);
        if ips.iter().all(|ip| (port..port + count).all(|port| is_free(*ip, port))) {
            return Ok((block, port));
        }
    }
    Err("no free ports were found".into())
}

/// Passes bytes on in both directions.
fn relay(client: TcpStream, target: SocketAddr) {
    let Ok(server) = TcpStream::connect(target) else { return };
    let _ = server.set_nodelay(true);
    let (Ok(mut from_client), Ok(mut to_client)) = (client.try_clone(), client.try_clone()) else { return };
    let (Ok(mut from_server), Ok(mut to_server)) = (server.try_clone(), server.try_clone()) else { return };
    thread::spawn(move || {
        let _ = io::copy(&mut from_server, &mut to_client);
        let _ = to_client.shutdown(std::net::Shutdown::Both);
    });
    let _ = io::copy(&mut from_client, &mut to_server);
    let _ = to_server.shutdown(std::net::Shutdown::Both);
}

/// A flag that threads share.
pub fn flag() -> Arc<AtomicBool> {
    Arc::new(AtomicBool::new(false))
}

/// A route of the configuration.
pub fn route(label: &str, path: &str, sort: &str, pick_up: bool, public: bool) -> String {
    format!(
        "{{\"label\":\"{label}\",\"hostname\":\"{HOST}\",\"pathStart\":\"{path}\",\"sort\":\"{sort}\",\
         \"timeLimitMs\":8000,\"targetMs\":600,\"rank\":1,\"backend\":\"{SERVICE}\",\"tries\":2,\"public\":{public},\
         \"pinned\":{},\"pickUp\":{pick_up},\"gap_aim_ms\":400}}",
        sort == "stream"
    )
}

/// A configuration of these routes and tenants.
pub fn configuration(revision: u64, routes: &[String], customers: Option<&str>) -> String {
    let customers = customers.map(|list| format!(",\"customers\":{list}")).unwrap_or_default();
    format!(
        "{{\"revision\":{revision},\"routes\":[{}],\"backends\":[{{\"label\":\"{SERVICE}\",\"checkPath\":\"/health\",\
         \"connLimit\":630,\"protocol\":\"h1\",\"encryption\":false,\"runtime\":{{\"capacity\":64,\
         \"cacheTokens\":239003,\"cacheTokenBytes\":18432,\"bandwidthMbps\":370000.0,\"stride\":5,\"maxCalls\":12,\
         \"llms\":[{{\"label\":\"{MODEL}\"}}]}}}}],\"caps\":{{\"headSizeBytes\":16384,\"bodySizeBytes\":4194304,\
         \"headWaitMs\":3000,\"quietMs\":15000}}{customers}}}",
        routes.join(",")
    )
}
