//! The conformance suite: test cases as data, run on all pairings of a front's dialect and a replica's dialect.
//!
//! Each case describes the request, the replica's behaviour and the expected response independently of the dialects,
//! so that it applies to each pairing. The model of a request begins with the name of its case, by which the stand-ins
//! find the case.

pub mod case;
pub mod client;
pub mod stand_in;

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

use crate::names::Dialect;
use case::{Case, CaseError, Expectation, Fleet, LineError, Outcome};
use stand_in::StandIns;

/// The number of readiness probes after which the start of a gateway has failed.
const MAX_READY_PROBES: u32 = 500;

/// The interval between readiness probes of a starting gateway.
const READY_PROBE_INTERVAL: Duration = Duration::from_millis(10);

/// The case files of the suite: file name and text.
const CASE_FILES: [(&str, &str); 5] = [
    ("answers.case", include_str!("../../conformance/answers.case")),
    ("tools.case", include_str!("../../conformance/tools.case")),
    ("requests.case", include_str!("../../conformance/requests.case")),
    ("faults.case", include_str!("../../conformance/faults.case")),
    ("translation.case", include_str!("../../conformance/translation.case")),
];

/// Returns all cases of the suite.
///
/// # Errors
///
/// The file, the line and the reason, if a case can't be read or its name is already in use.
pub fn cases() -> Result<Vec<Case>, CaseError> {
    let mut all: Vec<Case> = Vec::new();
    for (file, text) in CASE_FILES {
        for case in case::parse(file, text)? {
            if let Some(other) = all.iter().find(|c| c.name == case.name) {
                let (name, file) = (case.name.clone(), other.position.file.clone());
                let source = LineError::NameInOtherFile { name, file };
                return Err(CaseError { position: case.position, source });
            }
            all.push(case);
        }
    }
    Ok(all)
}

/// The dialect of a front and that of the replicas behind it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pairing {
    /// The dialect of the front.
    pub front: Dialect,
    /// The dialect of the replicas.
    pub replicas: Dialect,
}

/// All combinations of the two dialects.
pub const PAIRINGS: [Pairing; 4] = [
    Pairing { front: Dialect::Platform, replicas: Dialect::Platform },
    Pairing { front: Dialect::Platform, replicas: Dialect::Messages },
    Pairing { front: Dialect::Messages, replicas: Dialect::Platform },
    Pairing { front: Dialect::Messages, replicas: Dialect::Messages },
];

impl Case {
    /// Whether the case applies to a pairing.
    #[must_use]
    pub fn is_for(&self, Pairing { front, replicas }: Pairing) -> bool {
        let allows = |list: &[Dialect], dialect| list.is_empty() || list.contains(&dialect);
        allows(&self.fronts, front) && allows(&self.replicas, replicas)
    }
}

/// The result of a case on one pairing.
#[derive(Clone, Debug)]
pub struct Verdict {
    /// The name of the case.
    pub case: String,
    /// The pairing on which the case was run.
    pub pairing: Pairing,
    /// The outcome of the request.
    pub outcome: Outcome,
    /// The number of attempts that reached a replica. `None` if there was no response, or if the stand-ins run in another
    /// process.
    pub attempts: Option<usize>,
    /// The differences from the expectations; empty if the case passed.
    pub faults: Vec<String>,
}

/// The results of a run of the suite.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// The result of each case on each of its pairings.
    pub verdicts: Vec<Verdict>,
    /// The names of the cases that were not run, each with the reason.
    pub skipped: Vec<(String, &'static str)>,
}

impl Report {
    /// Whether all cases that were run have passed.
    #[must_use]
    pub fn all_passed(&self) -> bool {
        self.verdicts.iter().all(|v| v.faults.is_empty())
    }

    /// The report as lines of text.
    #[must_use]
    pub fn text(&self) -> String {
        let mut out = String::new();
        for pairing in PAIRINGS {
            let verdicts: Vec<_> = self.verdicts.iter().filter(|v| v.pairing == pairing).collect();
            if verdicts.is_empty() {
                continue;
            }
            let passed = verdicts.iter().filter(|v| v.faults.is_empty()).count();
            let _ = writeln!(
                out,
                "{:?} front, {:?} replicas: {passed} of {} passed",
                pairing.front,
                pairing.replicas,
                verdicts.len()
            );
        }
        for verdict in self.verdicts.iter().filter(|v| !v.faults.is_empty()) {
            let Pairing { front, replicas } = verdict.pairing;
            let _ = writeln!(out, "{} ({front:?} front, {replicas:?} replicas)", verdict.case);
            for fault in &verdict.faults {
                let _ = writeln!(out, "  {fault}");
            }
        }
        let mut reasons: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        for (case, reason) in &self.skipped {
            reasons.entry(reason).or_default().push(case);
        }
        for (reason, cases) in reasons {
            let _ = writeln!(out, "not run, {reason}: {}", cases.join(", "));
        }
        out
    }

    /// The report as JSON.
    #[must_use]
    pub fn json(&self) -> String {
        let verdict = |v: &Verdict| {
            json!({"case": v.case, "front": format!("{:?}", v.pairing.front), "servers": format!("{:?}", v.pairing.replicas),
                "outcome": format!("{:?}", v.outcome), "attempts": v.attempts, "faults": v.faults})
        };
        let skipped = |(case, reason): &(String, &str)| json!({"case": case, "why": reason});
        json!({"holds": self.all_passed(), "cases": self.verdicts.iter().map(verdict).collect::<Vec<_>>(),
            "not_run": self.skipped.iter().map(skipped).collect::<Vec<_>>()})
        .to_string()
    }
}

/// Runs one case against the front at `addr`. `stand_ins`, if given, are the replicas behind it.
pub fn run(case: &Case, pairing: Pairing, addr: SocketAddr, stand_ins: Option<&StandIns>) -> Verdict {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let id = NEXT.fetch_add(1, Ordering::SeqCst) << 16 | u64::from(std::process::id() & 0xFFFF);
    let model = format!("{}~{id:x}", case.name);
    let mut verdict = Verdict {
        case: case.name.clone(),
        pairing,
        outcome: Outcome::Failed,
        attempts: None,
        faults: Vec::new(),
    };
    let request = client::request(case, pairing.front, &model, id);
    let response = match client::send_request(addr, pairing.front, &request) {
        Ok(response) => response,
        Err(e) => {
            verdict.faults.push(format!("no response: {e}"));
            return verdict;
        }
    };
    verdict.outcome = response.outcome();
    if verdict.outcome != case.outcome {
        let (expected, actual) = (case.outcome, verdict.outcome);
        verdict.faults.push(format!(
            "outcome: expected {expected:?}, got {actual:?}, status {}: {:.300}",
            response.status, response.raw
        ));
    }
    verdict.faults.extend(response.malformed.clone());
    if pairing.front == Dialect::Messages && !response.headers.contains_key("request-id") {
        verdict.faults.push("header: request-id is missing".into());
    }
    let mut call_count = 0;
    for Expectation { dialect, directive } in &case.see {
        if dialect.is_none_or(|dialect| dialect == pairing.front) {
            verdict.faults.extend(response.mismatch(directive, &mut call_count, &model));
        }
    }
    if let Some(stand_ins) = stand_ins {
        let received = stand_ins.received(&model);
        for Expectation { dialect, directive } in &case.sent {
            if dialect.is_none_or(|dialect| dialect == pairing.replicas) {
                let expected: Value = serde_json::from_str(&directive.json(0)).unwrap_or_default();
                let actual = received
                    .last()
                    .and_then(|r| r.body.pointer(&directive.keyword))
                    .cloned()
                    .unwrap_or_default();
                if actual != expected || received.is_empty() {
                    verdict
                        .faults
                        .push(format!("sent: {} expected {expected}, got {actual}", directive.keyword));
                }
            }
        }
        let received_count = received.len();
        verdict.attempts = Some(received_count);
        if let Some(expected) = case.attempts.filter(|expected| *expected != received_count) {
            verdict.faults.push(format!("attempts: expected {expected}, got {received_count}"));
        }
    }
    verdict
}

/// Runs the cases against a running gateway. Its replicas have to be stand-ins of this suite. Cases for other pairings,
/// and those that need their own replicas, are skipped.
#[must_use]
pub fn run_against(cases: &[Case], pairing: Pairing, addr: SocketAddr) -> Report {
    let mut report = Report::default();
    for case in cases {
        if !case.is_for(pairing) {
            report.skipped.push((case.name.clone(), "applies to other pairings"));
        } else if case.fleet != Fleet::Shared {
            report.skipped.push((case.name.clone(), "needs its own replicas"));
        } else {
            report.verdicts.push(run(case, pairing, addr, None));
        }
    }
    report
}

/// Runs the cases on all pairings, with gateways that the suite starts. `program` is the gateway's executable,
/// `scratch` a directory for their settings, and `concurrency` the maximum number of gateways at a time; 0 counts as 1.
///
/// # Errors
///
/// If a stand-in or gateway can't be started. A case that fails is not an error, but part of the report.
pub fn run_all_pairings(
    cases: &[Case],
    program: &Path,
    scratch: &Path,
    concurrency: usize,
) -> io::Result<Report> {
    // The cases of a job are run in sequence on one gateway: all cases of a pairing with the shared replicas, or one case
    // with its own replicas.
    let mut jobs: Vec<(Pairing, Fleet, Vec<Case>)> = Vec::new();
    for pairing in PAIRINGS {
        let applicable = cases.iter().filter(|c| c.is_for(pairing)).cloned();
        let (shared, own): (Vec<Case>, Vec<Case>) = applicable.partition(|c| c.fleet == Fleet::Shared);
        jobs.push((pairing, Fleet::Shared, shared));
        jobs.extend(own.into_iter().map(|case| (pairing, case.fleet, vec![case])));
    }
    let (next, report, failure) = (AtomicUsize::new(0), Mutex::new(Report::default()), Mutex::new(None));
    thread::scope(|scope| {
        for _ in 0..concurrency.clamp(1, jobs.len().max(1)) {
            scope.spawn(|| {
                while let Some((pairing, fleet, cases)) = jobs.get(next.fetch_add(1, Ordering::SeqCst)) {
                    match run_job(*pairing, *fleet, cases, program, scratch) {
                        Ok(verdicts) => {
                            report
                                .lock()
                                .unwrap_or_else(std::sync::PoisonError::into_inner)
                                .verdicts
                                .extend(verdicts);
                        }
                        Err(e) => {
                            *failure.lock().unwrap_or_else(std::sync::PoisonError::into_inner) = Some(e);
                        }
                    }
                }
            });
        }
    });
    if let Some(e) = failure.into_inner().unwrap_or_else(std::sync::PoisonError::into_inner) {
        return Err(e);
    }
    let mut report = report.into_inner().unwrap_or_else(std::sync::PoisonError::into_inner);
    report.verdicts.sort_by(|a, b| a.case.cmp(&b.case));
    Ok(report)
}

/// Runs the cases in sequence on one gateway with its own stand-ins.
fn run_job(
    pairing: Pairing,
    fleet: Fleet,
    cases: &[Case],
    program: &Path,
    scratch: &Path,
) -> io::Result<Vec<Verdict>> {
    let stand_ins = StandIns::start(pairing.replicas, fleet, cases, 0)?;
    let gateway = GatewayProcess::start(&stand_ins, pairing.replicas, program, scratch)?;
    Ok(cases
        .iter()
        .map(|case| run(case, pairing, gateway.front(pairing.front), Some(&stand_ins)))
        .collect())
}

/// The platform's configuration (JSON) for a gateway of the suite.
#[must_use]
pub fn config(stand_ins: &StandIns) -> Value {
    let second = 1_000_000_000u64;
    let class = |name: &str, effect: &str| {
        json!({"name": name, "effect": effect, "promise-ns": second, "deadline-ns": 4 * second, "stream": true,
            "points": 1.0})
    };
    json!({"name": "conformance", "listen": "127.0.0.1:0", "discovery": stand_ins.discovery.to_string(),
        "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "sockets": 1024, "memory_mb": 192},
        "known": stand_ins.list(), "settings": {"group-size": 1, "me": 0, "zone": "a", "localities": ["a"],
            "shapes": ["k"], "discovery": "push", "weight-source": "rough", "report": {"fields": []},
            "lanes": [class("plain", "retryable"), class("once", "fragile")],
            "accounts": [{"name": "office", "share": 1.0}],
            "policy-limits": {"send-cap": 4, "cancel": true, "retry-after": true,
                "max-retry-after-ns": 2 * second, "conn-idle-ns": 5 * second, "connect-timeout-ns": second},
            "safety": {"cold-from": 0.3, "ramp-time-ns": 60 * second, "fall-ns": 3 * second,
                "overload-factor": 2.5, "ask-within-ns": 10 * second}}})
}

/// The program's settings (HCL) for a gateway of the suite, whose replicas speak the dialect `replicas`.
#[must_use]
pub fn settings(replicas: Dialect) -> String {
    let kind = if replicas == Dialect::Messages { "messages" } else { "platform" };
    format!(
        "messages {{\n  listen = \"127.0.0.1:0\"\n  class = \"plain\"\n  tenant = \"office\"\n  \
        classes = {{ map-fast = \"plain\", map-once = \"once\" }}\n  limits = {{ office = {{ requests = 100000 }} }}\n}}\n\
        dialects = {{ k = \"{kind}\" }}\nstreams {{\n  stall = \"400ms\"\n  silence = \"600ms\"\n  tail = \"400ms\"\n  opening = \"600ms\"\n}}\n"
    )
}

/// A gateway process that the suite started; it is killed and its files are removed when this is dropped.
pub struct GatewayProcess {
    child: Child,
    /// The addresses of its fronts: that of the platform, then that of the messages API.
    pub fronts: [SocketAddr; 2],
    files: [PathBuf; 2],
}

impl GatewayProcess {
    /// Starts the program with the stand-ins as its replicas; they speak the dialect `replicas`.
    ///
    /// # Errors
    ///
    /// If the gateway's files can't be written, or the program can't be started or is not ready in time.
    pub fn start(
        stand_ins: &StandIns,
        replicas: Dialect,
        program: &Path,
        scratch: &Path,
    ) -> io::Result<GatewayProcess> {
        static NEXT_NUMBER: AtomicUsize = AtomicUsize::new(0);
        let number = NEXT_NUMBER.fetch_add(1, Ordering::SeqCst);
        let file = |name: &str| scratch.join(format!("conformance-{}-{number}-{name}", std::process::id()));
        let files = [file("config.json"), file("settings.hcl")];
        std::fs::write(&files[0], config(stand_ins).to_string())?;
        std::fs::write(&files[1], settings(replicas))?;
        let mut child = Command::new(program)
            .arg("serve")
            .arg("--config")
            .arg(&files[0])
            .arg("--settings")
            .arg(&files[1])
            .env_remove("EDGE_NAME")
            .env_remove("EDGE_LISTEN")
            .env_remove("EDGE_DISCOVERY")
            .env_remove("RUST_LOG")
            .stderr(Stdio::piped())
            .spawn()?;
        let mut lines = child
            .stderr
            .take()
            .map(|e| BufReader::new(e).lines())
            .into_iter()
            .flatten()
            .map_while(Result::ok);
        let addr = (0..2).map_while(|_| {
            let line = lines.find(|l| l.contains(" listening "))?;
            line.split_once("addr=\"")?.1.split('"').next()?.parse::<SocketAddr>().ok()
        });
        let addrs: Vec<SocketAddr> = addr.collect();
        let [platform, messages] = addrs[..] else {
            let _ = child.kill();
            return Err(io::Error::other("the gateway exited, or did not log the addresses of its fronts"));
        };
        // The log is read to its end, since a full pipe would block the gateway.
        thread::spawn(move || lines.for_each(drop));
        let gateway = GatewayProcess { child, fronts: [platform, messages], files };
        gateway.wait_ready()?;
        Ok(gateway)
    }

    /// The address of the front of a dialect.
    #[must_use]
    pub fn front(&self, dialect: Dialect) -> SocketAddr {
        self.fronts[usize::from(dialect == Dialect::Messages)]
    }

    /// The process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    fn wait_ready(&self) -> io::Result<()> {
        for _ in 0..MAX_READY_PROBES {
            let request = b"GET /_health HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
            if client::send_request(self.fronts[0], Dialect::Platform, request)
                .is_ok_and(|s| s.status == 200)
            {
                return Ok(());
            }
            thread::sleep(READY_PROBE_INTERVAL);
        }
        Err(io::Error::other("the gateway did not become ready in time"))
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        for file in &self.files {
            let _ = std::fs::remove_file(file);
        }
    }
}
