//! Batches of events for any number of gateways, which share nothing but this process.

use std::collections::HashMap;
use std::fmt::Write;
use std::sync::Arc;

use tulipridge::Gateway;
use tulipridge::types::{Action, Event, ListKind, Member, Nanos, ReplicaId, Request};

use crate::parse::{Fault, Names, Parts, fault, member, number_of, settings};

/// Lists are numbered below this.
const LISTS: usize = 16;

/// A list that is being read: its number, its lines so far, and how many are due.
struct Reading {
    number: usize,
    members: Vec<Member>,
    due: usize,
}

#[derive(Default)]
pub(crate) struct Host {
    gateways: HashMap<String, (Gateway, Names)>,
    lists: [Option<Arc<[Member]>>; LISTS],
    reading: Option<Reading>,
    /// Zones and kinds by number, the same for lists and gateways.
    zones: Vec<String>,
    kinds: Vec<String>,
    batch: Option<(Nanos, u64)>,
    actions: Vec<Action>,
}

impl Host {
    /// Takes a line and adds the actions that follow; true once the reply is complete.
    pub(crate) fn line(&mut self, line: &str, reply: &mut String) -> Result<bool, Fault> {
        if self.reading.is_some() {
            self.entry(line)?;
            return Ok(false);
        }
        let mut parts = Parts::new(line);
        let message = parts.text("message")?;
        let Some((now, number)) = self.batch else {
            if message != "CLOCK" {
                return Err(fault("message", format_args!("'{message}' where CLOCK was due")));
            }
            self.batch = Some((parts.whole("wall-ns")?, parts.whole("n")?));
            return parts.end().map(|()| false);
        };
        match message {
            "FLUSH" => {
                parts.end()?;
                self.batch = None;
                let _ = writeln!(reply, "ACK {number}");
                return Ok(true);
            }
            "ROSTER" => {
                let number: usize = parts.whole("set-id")?;
                let due: usize = parts.whole("members-list")?;
                parts.end()?;
                if number >= LISTS {
                    return Err(fault("set-id", format_args!("'{number}' is not below {LISTS}")));
                }
                self.reading = Some(Reading { number, members: Vec::new(), due });
                self.entries_done();
            }
            "PROVISION" => {
                let name = router(&mut parts)?;
                let salt = parts.whole("salt")?;
                let (mut settings, names) = settings(&parts.pairs()?)?;
                settings.zone =
                    settings.zone.map(|z| number_of(&mut self.zones, &names.zones[usize::from(z)]));
                let gateway = Gateway::new(settings, salt).map_err(|e| fault("setup", e))?;
                self.gateways.insert(name.to_owned(), (gateway, names));
            }
            "CRASH_NOW" => {
                let name = router(&mut parts)?;
                parts.end()?;
                self.gateways.remove(name);
            }
            "CLOCK" => return Err(fault("message", "'CLOCK' within a batch")),
            _ => self.event(now, message, parts, reply)?,
        }
        Ok(false)
    }

    /// The input's end, which is in order only between batches.
    pub(crate) fn end(&self) -> Result<(), Fault> {
        match self.batch {
            None => Ok(()),
            Some(_) => Err(fault("message", "the input ends within a batch")),
        }
    }

    fn entry(&mut self, line: &str) -> Result<(), Fault> {
        let member = member(line, &mut self.zones, &mut self.kinds)?;
        if let Some(reading) = &mut self.reading {
            reading.members.push(member);
        }
        self.entries_done();
        Ok(())
    }

    fn entries_done(&mut self) {
        if let Some(done) = self.reading.take_if(|r| r.members.len() == r.due) {
            self.lists[done.number] = Some(done.members.into());
        }
    }

    /// An event of one gateway. One for a gateway that was never started or was killed is ignored.
    fn event(
        &mut self,
        now: Nanos,
        message: &str,
        mut parts: Parts,
        reply: &mut String,
    ) -> Result<(), Fault> {
        let name = router(&mut parts)?;
        let mut gateway = self.gateways.get_mut(name);
        let event = match message {
            "UPDATE" => {
                let kind = match parts.text("kind")? {
                    "Partial" => ListKind::Changes,
                    "Complete" => ListKind::Whole,
                    "Persisted" => ListKind::Persisted,
                    "Error" => ListKind::Failed,
                    other => return Err(fault("kind", format_args!("'{other}' is no known kind"))),
                };
                parts.whole_or::<u64>("gen", 0)?;
                let list = parts.part("set-id")?;
                let members = match (kind, list.map(str::parse::<usize>)) {
                    (ListKind::Failed, _) => Arc::from([]),
                    (_, Some(Ok(list))) => match self.lists.get(list) {
                        Some(Some(members)) => Arc::clone(members),
                        _ => return Err(fault("set-id", format_args!("no list {list} was given"))),
                    },
                    (_, Some(Err(_))) => return Err(fault("set-id", "no whole number in range")),
                    (_, None) => return Err(fault("set-id", "absent")),
                };
                Event::List { kind, members }
            }
            "ASK" => {
                let id = parts.request()?;
                let expires_in = parts.whole::<i64>("expires-in-ns")?.max(0) as Nanos;
                let prefix = parts.key("shared-prefix")?;
                let session = parts.key("object")?;
                parts.span("expected-ns")?;
                let prefix_len = parts.count("prefix-len")?;
                let max_answer = parts.count("n-max")?;
                let (class, tenant) = (parts.text("priority")?, parts.part("project")?);
                let prompt = parts.count("prompt-len")?;
                let marks: u64 = parts.whole_or("marks", 0)?;
                let Some((_, names)) = &gateway else { return Ok(()) };
                let class = names.classes.iter().position(|c| c == class).ok_or_else(|| {
                    fault("priority", format_args!("'{class}' is no class of this gateway's"))
                })?;
                let tenant = tenant.filter(|t| *t != "0" && !names.tenants.is_empty());
                let tenant = match tenant.map(|t| names.tenants.iter().position(|n| n == t)) {
                    Some(None) => return Err(fault("project", "no tenant of this gateway's")),
                    found => found.flatten(),
                };
                let repeat = marks & 2 != 0;
                Event::Request(Request {
                    id,
                    expires_in,
                    class,
                    tenant,
                    prefix,
                    session,
                    prompt,
                    prefix_len,
                    max_answer,
                    repeat,
                })
            }
            "EXPIRED" => Event::Expired(parts.request()?),
            "RETURNED" => {
                let id = parts.request()?;
                let kept = parts.part("info")?;
                let kept = kept.map(|v| v.parse().map_err(|_| fault("info", "no whole number in range")));
                let elapsed = parts.span("rtt-ns")?;
                parts.part("worker")?;
                let attempt = parts.whole("hop")?;
                let ended = parts.flag("ended")?;
                let verdict = parts.verdict()?;
                let report = parts.report()?;
                Event::Outcome { id, attempt, verdict, ended, elapsed, kept: kept.transpose()?, report }
            }
            "HEAD_RECEIVED" => {
                let id = parts.request()?;
                let elapsed = parts.span("rtt-ns")?;
                parts.part("worker")?;
                Event::FirstToken { id, attempt: parts.whole("hop")?, elapsed }
            }
            "HEALTH_RESULT" => {
                let replica = ReplicaId::from(parts.text("worker")?);
                let verdict = parts.verdict()?;
                let elapsed = parts.span("rtt-ns")?;
                Event::Probed { replica, verdict, elapsed, report: parts.report()? }
            }
            "WAKE" => Event::Timer(parts.whole("token")?),
            "MESSAGE" => Event::Peer { from: parts.whole("who")?, bytes: parts.bytes("raw")? },
            other => return Err(fault("message", format_args!("'{other}' is not known"))),
        };
        parts.end()?;
        if let Some((gateway, _)) = &mut gateway {
            gateway.handle(now, event, &mut self.actions);
        }
        for action in self.actions.drain(..) {
            print(name, &action, reply);
        }
        Ok(())
    }
}

fn router<'a>(parts: &mut Parts<'a>) -> Result<&'a str, Fault> {
    let name = parts.text("router")?;
    let number = name.strip_prefix("router_").is_some_and(|n| n.parse::<u32>().is_ok());
    if number { Ok(name) } else { Err(fault("router", format_args!("'{name}' is no router's name"))) }
}

/// Adds an action's line.
fn print(router: &str, action: &Action, reply: &mut String) {
    // Writing to a string does not fail.
    let _ = match action {
        Action::Send { id, replica, timeout, .. } => {
            writeln!(reply, "RELAY {router} {:016x} {} {timeout}", id.0, replica.0)
        }
        Action::Refuse { id, wait } => writeln!(reply, "SAY_NO {router} {:016x} {wait}", id.0),
        Action::Fail(id) => writeln!(reply, "LOSE {router} {:016x}", id.0),
        Action::Cancel { id, attempt } => writeln!(reply, "REVOKE {router} {:016x} {attempt}", id.0),
        Action::Timer { after, token } => writeln!(reply, "REMIND {router} {after} {token}"),
        Action::Watch => writeln!(reply, "WATCH {router} 1"),
        Action::Fetch => writeln!(reply, "READ_LIST {router}"),
        Action::Probe(replica) => writeln!(reply, "SOUND_OUT {router} {}", replica.0),
        Action::Tell { to, bytes } => {
            let _ = match to {
                Some(to) => write!(reply, "TELL {router} {to} "),
                None => write!(reply, "TELL {router} * "),
            };
            for byte in bytes {
                let _ = write!(reply, "{byte:02x}");
            }
            writeln!(reply)
        }
    };
}
