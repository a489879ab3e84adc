//! The conformance suite: cases as data, run over all pairings of fronts and replicas.
//!
//! A case's request, the replica's doing and the client's view are told in no dialect, so the same case holds on
//! each pairing. A request's model is its case's name: by that the stand-ins know what to do.

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

use serde_json::json;

use crate::names::Dialect;
use case::{Case, CaseError, Expectation, Fleet, LineError, Outcome};
use stand_in::StandIns;

/// The suite's own cases.
const FILES: [(&str, &str); 5] = [
    ("answers.case", include_str!("../../conformance/answers.case")),
    ("tools.case", include_str!("../../conformance/tools.case")),
    ("requests.case", include_str!("../../conformance/requests.case")),
    ("faults.case", include_str!("../../conformance/faults.case")),
    ("translation.case", include_str!("../../conformance/translation.case")),
];

/// All cases of the suite; a fault names its file and line.
///
/// # Errors
///
/// The file, the line and what is wrong, for a case that can't be read or whose name is in use already.
pub fn cases() -> Result<Vec<Case>, CaseError> {
    let mut all: Vec<Case> = Vec::new();
    for (file, text) in FILES {
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

/// A front's dialect and that of the replicas behind it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pairing {
    /// The front's dialect.
    pub front: Dialect,
    /// The replicas' dialect.
    pub replicas: Dialect,
}

/// All pairings.
pub const PAIRINGS: [Pairing; 4] = [
    Pairing { front: Dialect::Platform, replicas: Dialect::Platform },
    Pairing { front: Dialect::Platform, replicas: Dialect::Messages },
    Pairing { front: Dialect::Messages, replicas: Dialect::Platform },
    Pairing { front: Dialect::Messages, replicas: Dialect::Messages },
];

impl Case {
    /// It is for this pairing.
    #[must_use]
    pub fn is_for(&self, Pairing { front, replicas }: Pairing) -> bool {
        let among = |list: &[Dialect], one| list.is_empty() || list.contains(&one);
        among(&self.fronts, front) && among(&self.replicas, replicas)
    }
}

/// What came of a case on one pairing.
#[derive(Clone, Debug)]
pub struct Verdict {
    /// The case's name.
    pub case: String,
    /// The pairing.
    pub pairing: Pairing,
    /// What became of its request.
    pub outcome: Outcome,
    /// Attempts that reached a replica, where that could be seen.
    pub attempts: Option<usize>,
    /// What does not hold; nothing if all does.
    pub faults: Vec<String>,
}

/// What came of a run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Case by case.
    pub verdicts: Vec<Verdict>,
    /// Cases that were not run, and why.
    pub left_out: Vec<(String, &'static str)>,
}

impl Report {
    /// Whether all that was run holds.
    #[must_use]
    pub fn all_passed(&self) -> bool {
        self.verdicts.iter().all(|v| v.faults.is_empty())
    }

    /// The report as lines for people.
    #[must_use]
    pub fn text(&self) -> String {
        let mut out = String::new();
        for pairing in PAIRINGS {
            let of: Vec<_> = self.verdicts.iter().filter(|v| v.pairing == pairing).collect();
            if of.is_empty() {
                continue;
            }
            let passed = of.iter().filter(|v| v.faults.is_empty()).count();
            let _ = writeln!(
                out,
                "{:?} front, {:?} servers: {passed} of {} hold",
                pairing.front,
                pairing.replicas,
                of.len()
            );
        }
        for verdict in self.verdicts.iter().filter(|v| !v.faults.is_empty()) {
            let Pairing { front, replicas: servers } = verdict.pairing;
            let _ = writeln!(out, "{} ({front:?} front, {servers:?} servers)", verdict.case);
            for fault in &verdict.faults {
                let _ = writeln!(out, "  {fault}");
            }
        }
        let mut reasons: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        for (case, why) in &self.left_out {
            reasons.entry(why).or_default().push(case);
        }
        for (why, cases) in reasons {
            let _ = writeln!(out, "not run, {why}: {}", cases.join(", "));
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
        let left = |(case, why): &(String, &str)| json!({"case": case, "why": why});
        json!({"holds": self.all_passed(), "cases": self.verdicts.iter().map(verdict).collect::<Vec<_>>(),
            "not_run": self.left_out.iter().map(left).collect::<Vec<_>>()})
        .to_string()
    }
}

/// Runs one case against a front.
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
    let seen = match client::send_request(addr, pairing.front, &request) {
        Ok(seen) => seen,
        Err(e) => {
            verdict.faults.push(format!("no answer: {e}"));
            return verdict;
        }
    };
    verdict.outcome = seen.outcome();
    if verdict.outcome != case.outcome {
        let (due, is) = (case.outcome, verdict.outcome);
        verdict.faults.push(format!(
            "outcome: {due:?} was due, {is:?} came, status {}: {:.300}",
            seen.status, seen.raw
        ));
    }
    verdict.faults.extend(seen.malformed.clone());
    if pairing.front == Dialect::Messages && !seen.headers.contains_key("request-id") {
        verdict.faults.push("header: no request-id".into());
    }
    let mut call = 0;
    for Expectation { dialect: only, directive: see } in &case.see {
        if only.is_none_or(|only| only == pairing.front) {
            verdict.faults.extend(seen.mismatch(see, &mut call, &model));
        }
    }
    if let Some(stand_ins) = stand_ins {
        let came = stand_ins.received(&model);
        for Expectation { dialect: only, directive: sent } in &case.sent {
            if only.is_none_or(|only| only == pairing.replicas) {
                let due: serde_json::Value = serde_json::from_str(&sent.json(0)).unwrap_or_default();
                let is =
                    came.last().and_then(|c| c.body.pointer(&sent.keyword)).cloned().unwrap_or_default();
                if is != due || came.is_empty() {
                    verdict.faults.push(format!("sent: {} {due} was due, {is} came", sent.keyword));
                }
            }
        }
        let came = came.len();
        verdict.attempts = Some(came);
        if let Some(due) = case.attempts.filter(|due| *due != came) {
            verdict.faults.push(format!("attempts: {due} were due, {came} came"));
        }
    }
    verdict
}

/// Runs the cases against a gateway that is up. Its replicas have to be this suite's stand-ins; those that need
/// servers of their own are left out.
#[must_use]
pub fn against(cases: &[Case], pairing: Pairing, addr: SocketAddr) -> Report {
    let mut report = Report::default();
    for case in cases {
        if !case.is_for(pairing) {
            report.left_out.push((case.name.clone(), "for another pairing"));
        } else if case.fleet != Fleet::Shared {
            report.left_out.push((case.name.clone(), "it needs replicas of its own"));
        } else {
            report.verdicts.push(run(case, pairing, addr, None));
        }
    }
    report
}

/// Runs the cases over all pairings, with gateways of the suite's own; `program` is the gateway, `scratch` a
/// directory for their settings, `at_once` how many run beside one another.
///
/// # Errors
///
/// If a directory, stand-in or gateway can't be started. A case that fails is no error, but part of the report.
pub fn everywhere(cases: &[Case], program: &Path, scratch: &Path, at_once: usize) -> io::Result<Report> {
    // What is run in one gateway, one after the other: all shared cases of a pairing, or one with its own servers.
    let mut jobs: Vec<(Pairing, Fleet, Vec<Case>)> = Vec::new();
    for pairing in PAIRINGS {
        let of = cases.iter().filter(|c| c.is_for(pairing)).cloned();
        let (shared, own): (Vec<Case>, Vec<Case>) = of.partition(|c| c.fleet == Fleet::Shared);
        jobs.push((pairing, Fleet::Shared, shared));
        jobs.extend(own.into_iter().map(|case| (pairing, case.fleet, vec![case])));
    }
    let (next, report, failure) = (AtomicUsize::new(0), Mutex::new(Report::default()), Mutex::new(None));
    thread::scope(|scope| {
        for _ in 0..at_once.clamp(1, jobs.len().max(1)) {
            scope.spawn(|| {
                while let Some((pairing, fleet, cases)) = jobs.get(next.fetch_add(1, Ordering::SeqCst)) {
                    match job(*pairing, *fleet, cases, program, scratch) {
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

fn job(
    pairing: Pairing,
    fleet: Fleet,
    cases: &[Case],
    program: &Path,
    scratch: &Path,
) -> io::Result<Vec<Verdict>> {
    let stand_ins = StandIns::start(pairing.replicas, fleet, cases, 0)?;
    let gateway = Running::start(&stand_ins, pairing.replicas, program, scratch)?;
    Ok(cases
        .iter()
        .map(|case| run(case, pairing, gateway.front(pairing.front), Some(&stand_ins)))
        .collect())
}

/// The platform's JSON for a gateway of the suite's own.
#[must_use]
pub fn config(stand_ins: &StandIns) -> serde_json::Value {
    let second = 1_000_000_000u64;
    let lane = |name: &str, effect: &str| {
        json!({"name": name, "effect": effect, "promise-ns": second, "deadline-ns": 4 * second, "stream": true,
            "points": 1.0})
    };
    json!({"name": "conformance", "listen": "127.0.0.1:0", "discovery": stand_ins.discovery.to_string(),
        "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "sockets": 1024, "memory_mb": 192},
        "known": stand_ins.list(), "settings": {"group-size": 1, "me": 0, "zone": "a", "localities": ["a"],
            "shapes": ["k"], "discovery": "push", "weight-source": "rough", "report": {"fields": []},
            "lanes": [lane("plain", "retryable"), lane("once", "fragile")],
            "accounts": [{"name": "office", "share": 1.0}],
            "policy-limits": {"send-cap": 4, "cancel": true, "retry-after": true,
                "max-retry-after-ns": 2 * second, "conn-idle-ns": 5 * second, "connect-timeout-ns": second},
            "safety": {"cold-from": 0.3, "ramp-time-ns": 60 * second, "fall-ns": 3 * second,
                "overload-factor": 2.5, "ask-within-ns": 10 * second}}})
}

/// The program's own settings for such a gateway.
#[must_use]
pub fn settings(servers: Dialect) -> String {
    let kind = if servers == Dialect::Messages { "messages" } else { "platform" };
    format!(
        "messages {{\n  listen = \"127.0.0.1:0\"\n  class = \"plain\"\n  tenant = \"office\"\n  \
        classes = {{ map-fast = \"plain\", map-once = \"once\" }}\n  limits = {{ office = {{ requests = 100000 }} }}\n}}\n\
        dialects = {{ k = \"{kind}\" }}\nstreams {{\n  stall = \"400ms\"\n  silence = \"600ms\"\n  tail = \"400ms\"\n  opening = \"600ms\"\n}}\n"
    )
}

/// A gateway of the suite's own, which ends when it is dropped.
pub struct Running {
    child: Child,
    /// Where its fronts listen: the platform's, then the messages API's.
    pub fronts: [SocketAddr; 2],
    files: [PathBuf; 2],
}

impl Running {
    /// Starts the program in front of stand-ins that speak `servers`.
    ///
    /// # Errors
    ///
    /// If the gateway's files can't be written or the program can't be started, or if it isn't ready in time.
    pub fn start(
        stand_ins: &StandIns,
        servers: Dialect,
        program: &Path,
        scratch: &Path,
    ) -> io::Result<Running> {
        static NUMBER: AtomicUsize = AtomicUsize::new(0);
        let number = NUMBER.fetch_add(1, Ordering::SeqCst);
        let file = |name: &str| scratch.join(format!("conformance-{}-{number}-{name}", std::process::id()));
        let files = [file("config.json"), file("settings.hcl")];
        std::fs::write(&files[0], config(stand_ins).to_string())?;
        std::fs::write(&files[1], settings(servers))?;
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
            return Err(io::Error::other("the gateway did not come up"));
        };
        // The log is read on, so that the gateway never waits for it.
        thread::spawn(move || lines.for_each(drop));
        let running = Running { child, fronts: [platform, messages], files };
        running.wait_ready()?;
        Ok(running)
    }

    /// Where the front of that dialect listens.
    #[must_use]
    pub fn front(&self, dialect: Dialect) -> SocketAddr {
        self.fronts[usize::from(dialect == Dialect::Messages)]
    }

    /// Its process's id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    fn wait_ready(&self) -> io::Result<()> {
        for _ in 0..500 {
            let request = b"GET /_health HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
            if client::send_request(self.fronts[0], Dialect::Platform, request)
                .is_ok_and(|s| s.status == 200)
            {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(10));
        }
        Err(io::Error::other("the gateway never became ready"))
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        for file in &self.files {
            let _ = std::fs::remove_file(file);
        }
    }
}
