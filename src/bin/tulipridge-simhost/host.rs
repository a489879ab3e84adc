//! Batches of events for any number of gateways, which share nothing but this process.

use std::collections::HashMap;
use std::fmt::Write;
use std::sync::Arc;

use tulipridge::LoadBalancer;
use tulipridge::types::{
    Action, ClassIndex, Event, ListKind, Member, Nanos, ReplicaId, Request, TenantIndex,
};

use crate::parse::{FieldError, Names, Parts, invalid, member, number_of, settings};

/// Lists are numbered below this.
const LISTS: usize = 16;
/// The bit of a request's marks that says that the client tries it again.
const RETRY_MARK: u64 = 2;

/// A gateway that was started.
struct Gateway {
    balancer: LoadBalancer,
    /// The names that its events use.
    names: Names,
}

/// A batch of events that is being read.
#[derive(Clone, Copy)]
struct Batch {
    /// The clock of all its events.
    now: Nanos,
    number: u64,
}

/// A list that is being read: its number, its lines so far, and how many are due.
struct Reading {
    number: usize,
    members: Vec<Member>,
    due: usize,
}

#[derive(Default)]
pub(crate) struct Host {
    gateways: HashMap<String, Gateway>,
    lists: [Option<Arc<[Member]>>; LISTS],
    reading: Option<Reading>,
    /// Zones and kinds by number, the same for lists and gateways.
    zones: Vec<String>,
    kinds: Vec<String>,
    batch: Option<Batch>,
    actions: Vec<Action>,
}

impl Host {
    /// Reads a line and adds the actions that follow; true once the reply is complete.
    pub(crate) fn line(&mut self, line: &str, reply: &mut String) -> Result<bool, FieldError> {
        if self.reading.is_some() {
            self.entry(line)?;
            return Ok(false);
        }
        let mut parts = Parts::new(line);
        let message = parts.text("message")?;
        let Some(Batch { now, number }) = self.batch else {
            if message != "CLOCK" {
                return Err(invalid("message", format_args!("'{message}' where CLOCK was due")));
            }
            self.batch = Some(Batch { now: parts.integer("wall-ns")?, number: parts.integer("n")? });
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
                let number: usize = parts.integer("set-id")?;
                let due: usize = parts.integer("members-list")?;
                parts.end()?;
                if number >= LISTS {
                    return Err(invalid("set-id", format_args!("'{number}' is not below {LISTS}")));
                }
                self.reading = Some(Reading { number, members: Vec::new(), due });
                self.entries_done();
            }
            "PROVISION" => {
                let name = router(&mut parts)?;
                let salt = parts.integer("salt")?;
                let (mut settings, names) = settings(&parts.pairs()?)?;
                settings.zone =
                    settings.zone.map(|z| number_of(&mut self.zones, &names.zones[usize::from(z)]));
                let balancer = LoadBalancer::new(settings, salt).map_err(|e| invalid("setup", e))?;
                self.gateways.insert(name.to_owned(), Gateway { balancer, names });
            }
            "CRASH_NOW" => {
                let name = router(&mut parts)?;
                parts.end()?;
                self.gateways.remove(name);
            }
            "CLOCK" => return Err(invalid("message", "'CLOCK' within a batch")),
            _ => self.event(now, message, parts, reply)?,
        }
        Ok(false)
    }

    /// The input's end, which is in order only between batches.
    pub(crate) fn end(&self) -> Result<(), FieldError> {
        match self.batch {
            None => Ok(()),
            Some(_) => Err(invalid("message", "the input ends within a batch")),
        }
    }

    fn entry(&mut self, line: &str) -> Result<(), FieldError> {
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
        mut parts: Parts<'_>,
        reply: &mut String,
    ) -> Result<(), FieldError> {
        let name = router(&mut parts)?;
        let event = match message {
            "UPDATE" => self.list_event(&mut parts)?,
            "ASK" => {
                let names = self.gateways.get(name).map(|gateway| &gateway.names);
                match request_event(&mut parts, names)? {
                    Some(event) => event,
                    None => return Ok(()),
                }
            }
            "EXPIRED" => Event::ClientDisconnected(parts.request()?),
            "RETURNED" => outcome_event(&mut parts)?,
            "HEAD_RECEIVED" => first_token_event(&mut parts)?,
            "HEALTH_RESULT" => probe_event(&mut parts)?,
            "WAKE" => Event::Timer(parts.integer("token")?),
            "MESSAGE" => Event::PeerMessage { from: parts.integer("who")?, bytes: parts.bytes("raw")? },
            other => return Err(invalid("message", format_args!("'{other}' is not known"))),
        };
        parts.end()?;
        if let Some(gateway) = self.gateways.get_mut(name) {
            gateway.balancer.handle(now, event, &mut self.actions);
        }
        for action in self.actions.drain(..) {
            print(name, &action, reply);
        }
        Ok(())
    }

    fn list_event(&self, parts: &mut Parts<'_>) -> Result<Event, FieldError> {
        let kind = match parts.text("kind")? {
            "Partial" => ListKind::Changes,
            "Complete" => ListKind::Complete,
            "Persisted" => ListKind::Persisted,
            "Error" => ListKind::Failed,
            other => return Err(invalid("kind", format_args!("'{other}' is no known kind"))),
        };
        parts.integer_or::<u64>("gen", 0)?;
        let list = parts.part("set-id")?;
        let members = match (kind, list.map(str::parse::<usize>)) {
            (ListKind::Failed, _) => Arc::from([]),
            (_, Some(Ok(list))) => match self.lists.get(list) {
                Some(Some(members)) => Arc::clone(members),
                _ => return Err(invalid("set-id", format_args!("no list {list} was given"))),
            },
            (_, Some(Err(_))) => return Err(invalid("set-id", "no whole number in range")),
            (_, None) => return Err(invalid("set-id", "absent")),
        };
        Ok(Event::List { kind, members })
    }
}

/// Reads a request; none if its gateway, whose `names` it uses, is not there.
fn request_event(parts: &mut Parts<'_>, names: Option<&Names>) -> Result<Option<Event>, FieldError> {
    let id = parts.request()?;
    let expires_in = parts.integer::<i64>("expires-in-ns")?.max(0) as Nanos;
    let prefix = parts.key("shared-prefix")?;
    let session = parts.key("object")?;
    parts.span("expected-ns")?;
    let prefix_tokens = parts.count("prefix-len")?;
    let max_output_tokens = parts.count("n-max")?;
    let class = parts.text("priority")?;
    let tenant = parts.part("project")?;
    let prompt_tokens = parts.count("prompt-len")?;
    let marks: u64 = parts.integer_or("marks", 0)?;
    let Some(names) = names else { return Ok(None) };
    Ok(Some(Event::Request(Request {
        id,
        expires_in,
        class: class_index(names, class)?,
        tenant: tenant_index(names, tenant)?,
        prefix,
        session,
        prompt_tokens,
        prefix_tokens,
        max_output_tokens,
        is_retry: marks & RETRY_MARK != 0,
    })))
}

fn class_index(names: &Names, class: &str) -> Result<ClassIndex, FieldError> {
    let index = names.classes.iter().position(|name| name == class);
    let unknown = || invalid("priority", format_args!("'{class}' is no class of this gateway's"));
    index.map(ClassIndex).ok_or_else(unknown)
}

fn tenant_index(names: &Names, tenant: Option<&str>) -> Result<Option<TenantIndex>, FieldError> {
    let tenant = tenant.filter(|tenant| *tenant != "0" && !names.tenants.is_empty());
    match tenant.map(|tenant| names.tenants.iter().position(|name| name == tenant)) {
        Some(None) => Err(invalid("project", "no tenant of this gateway's")),
        found => Ok(found.flatten().map(TenantIndex)),
    }
}

fn outcome_event(parts: &mut Parts<'_>) -> Result<Event, FieldError> {
    let id = parts.request()?;
    let cached = parts.part("info")?;
    let cached = cached.map(|text| text.parse().map_err(|_| invalid("info", "no whole number in range")));
    let elapsed = parts.span("rtt-ns")?;
    parts.part("worker")?;
    let attempt = parts.integer("hop")?;
    let ended = parts.flag("ended")?;
    let verdict = parts.verdict()?;
    let report = parts.report()?;
    let cached_tokens = cached.transpose()?;
    Ok(Event::Outcome { id, attempt, verdict, ended, elapsed, cached_tokens, report })
}

fn first_token_event(parts: &mut Parts<'_>) -> Result<Event, FieldError> {
    let id = parts.request()?;
    let elapsed = parts.span("rtt-ns")?;
    parts.part("worker")?;
    Ok(Event::FirstToken { id, attempt: parts.integer("hop")?, elapsed })
}

fn probe_event(parts: &mut Parts<'_>) -> Result<Event, FieldError> {
    let replica = ReplicaId::from(parts.text("worker")?);
    let verdict = parts.verdict()?;
    let elapsed = parts.span("rtt-ns")?;
    Ok(Event::Probed { replica, verdict, elapsed, report: parts.report()? })
}

fn router<'a>(parts: &mut Parts<'a>) -> Result<&'a str, FieldError> {
    let name = parts.text("router")?;
    let number = name.strip_prefix("router_").is_some_and(|n| n.parse::<u32>().is_ok());
    if number { Ok(name) } else { Err(invalid("router", format_args!("'{name}' is no router's name"))) }
}

/// Adds an action's line.
fn print(router: &str, action: &Action, reply: &mut String) {
    // Writing to a string does not fail.
    let _ = match action {
        Action::Send { id, replica, timeout, .. } => {
            writeln!(reply, "RELAY {router} {:016x} {} {timeout}", id.0, replica.0)
        }
        Action::Refuse { id, retry_after } => {
            writeln!(reply, "SAY_NO {router} {:016x} {retry_after}", id.0)
        }
        Action::Fail(id) => writeln!(reply, "LOSE {router} {:016x}", id.0),
        Action::Cancel { id, attempt } => writeln!(reply, "REVOKE {router} {:016x} {attempt}", id.0),
        Action::Timer { after, token } => writeln!(reply, "REMIND {router} {after} {token}"),
        Action::Watch => writeln!(reply, "WATCH {router} 1"),
        Action::Fetch => writeln!(reply, "READ_LIST {router}"),
        Action::Probe(replica) => writeln!(reply, "SOUND_OUT {router} {}", replica.0),
        Action::SendToPeer { to, bytes } => {
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
