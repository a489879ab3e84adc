//! Processes batches of events for any number of gateways, which share no state except the lists of replicas and the
//! numbers of zones and kinds.

use std::collections::HashMap;
use std::fmt::Write;
use std::sync::Arc;

use tulipridge::LoadBalancer;
use tulipridge::types::{
    Action, ClassIndex, Event, ListKind, Member, Nanos, ReplicaId, Request, TenantIndex,
};

use crate::parse::{FieldError, Fields, Names, invalid, member, number_of, settings};

/// The number of lists; they are numbered from 0.
const MAX_LISTS: usize = 16;
/// The bit of a request's `marks` for a retry by the client.
const RETRY_BIT: u64 = 2;

/// A running gateway.
struct Gateway {
    balancer: LoadBalancer,
    /// The names in its events.
    names: Names,
}

/// The batch of events that is being read.
#[derive(Clone, Copy)]
struct Batch {
    /// The time of all events in the batch.
    now: Nanos,
    number: u64,
}

/// The list that is being read.
struct PendingList {
    number: usize,
    members: Vec<Member>,
    /// The total number of members.
    expected_count: usize,
}

/// The gateways of the process, and the state of the input.
#[derive(Default)]
pub(crate) struct Host {
    gateways: HashMap<String, Gateway>,
    lists: [Option<Arc<[Member]>>; MAX_LISTS],
    pending_list: Option<PendingList>,
    /// The names of zones and kinds by their numbers, which lists and gateways share.
    zones: Vec<String>,
    kinds: Vec<String>,
    batch: Option<Batch>,
    actions: Vec<Action>,
}

impl Host {
    /// Processes a line and adds the resulting actions to `reply`. Returns true if the line ends a batch.
    pub(crate) fn process_line(&mut self, line: &str, reply: &mut String) -> Result<bool, FieldError> {
        if self.pending_list.is_some() {
            self.add_entry(line)?;
            return Ok(false);
        }
        let mut fields = Fields::new(line);
        let message = fields.required("message")?;
        let Some(Batch { now, number }) = self.batch else {
            if message != "CLOCK" {
                return Err(invalid("message", format_args!("expected CLOCK, got '{message}'")));
            }
            self.batch = Some(Batch { now: fields.integer("wall-ns")?, number: fields.integer("n")? });
            return fields.end().map(|()| false);
        };
        match message {
            "FLUSH" => {
                fields.end()?;
                self.batch = None;
                let _ = writeln!(reply, "ACK {number}");
                return Ok(true);
            }
            "ROSTER" => {
                let number: usize = fields.integer("set-id")?;
                let expected_count: usize = fields.integer("members-list")?;
                fields.end()?;
                if number >= MAX_LISTS {
                    return Err(invalid("set-id", format_args!("{number} is not below {MAX_LISTS}")));
                }
                self.pending_list = Some(PendingList { number, members: Vec::new(), expected_count });
                self.store_complete_list();
            }
            "PROVISION" => {
                let name = router_name(&mut fields)?;
                let salt = fields.integer("salt")?;
                let (mut settings, names) = settings(&fields.parameters()?)?;
                settings.zone =
                    settings.zone.map(|z| number_of(&mut self.zones, &names.zones[usize::from(z)]));
                let balancer = LoadBalancer::new(settings, salt).map_err(|e| invalid("setup", e))?;
                self.gateways.insert(name.to_owned(), Gateway { balancer, names });
            }
            "CRASH_NOW" => {
                let name = router_name(&mut fields)?;
                fields.end()?;
                self.gateways.remove(name);
            }
            "CLOCK" => return Err(invalid("message", "CLOCK within a batch")),
            _ => self.process_event(now, message, fields, reply)?,
        }
        Ok(false)
    }

    /// Checks that the input does not end within a batch.
    pub(crate) fn end(&self) -> Result<(), FieldError> {
        match self.batch {
            None => Ok(()),
            Some(_) => Err(invalid("message", "input ends within a batch")),
        }
    }

    fn add_entry(&mut self, line: &str) -> Result<(), FieldError> {
        let member = member(line, &mut self.zones, &mut self.kinds)?;
        if let Some(list) = &mut self.pending_list {
            list.members.push(member);
        }
        self.store_complete_list();
        Ok(())
    }

    /// Stores the pending list once it has all its members.
    fn store_complete_list(&mut self) {
        if let Some(list) = self.pending_list.take_if(|list| list.members.len() == list.expected_count) {
            self.lists[list.number] = Some(list.members.into());
        }
    }

    /// Processes an event of a gateway. Events for gateways that are not running are ignored.
    fn process_event(
        &mut self,
        now: Nanos,
        message: &str,
        mut fields: Fields<'_>,
        reply: &mut String,
    ) -> Result<(), FieldError> {
        let name = router_name(&mut fields)?;
        let event = match message {
            "UPDATE" => self.list_event(&mut fields)?,
            "ASK" => {
                let names = self.gateways.get(name).map(|gateway| &gateway.names);
                match request_event(&mut fields, names)? {
                    Some(event) => event,
                    None => return Ok(()),
                }
            }
            "EXPIRED" => Event::ClientDisconnected(fields.request_id()?),
            "RETURNED" => outcome_event(&mut fields)?,
            "HEAD_RECEIVED" => first_token_event(&mut fields)?,
            "HEALTH_RESULT" => probe_event(&mut fields)?,
            "WAKE" => Event::Timer(fields.integer("token")?),
            "MESSAGE" => Event::PeerMessage { from: fields.integer("who")?, bytes: fields.bytes("raw")? },
            other => return Err(invalid("message", format_args!("unknown message '{other}'"))),
        };
        fields.end()?;
        if let Some(gateway) = self.gateways.get_mut(name) {
            gateway.balancer.handle(now, event, &mut self.actions);
        }
        for action in self.actions.drain(..) {
            write_action(name, &action, reply);
        }
        Ok(())
    }

    fn list_event(&self, fields: &mut Fields<'_>) -> Result<Event, FieldError> {
        let kind = match fields.required("kind")? {
            "Partial" => ListKind::Changes,
            "Complete" => ListKind::Complete,
            "Persisted" => ListKind::Persisted,
            "Error" => ListKind::Failed,
            other => return Err(invalid("kind", format_args!("unknown kind '{other}'"))),
        };
        fields.integer_or::<u64>("gen", 0)?;
        let list = fields.optional("set-id")?;
        let members = match (kind, list.map(str::parse::<usize>)) {
            (ListKind::Failed, _) => Arc::from([]),
            (_, Some(Ok(list))) => match self.lists.get(list) {
                Some(Some(members)) => Arc::clone(members),
                _ => return Err(invalid("set-id", format_args!("list {list} was not sent"))),
            },
            (_, Some(Err(_))) => return Err(invalid("set-id", "not an integer in range")),
            (_, None) => return Err(invalid("set-id", "absent")),
        };
        Ok(Event::List { kind, members })
    }
}

/// Parses a request. `names` are those of its gateway; the result is `None` if the gateway is not running.
fn request_event(fields: &mut Fields<'_>, names: Option<&Names>) -> Result<Option<Event>, FieldError> {
    let id = fields.request_id()?;
    let expires_in = fields.integer::<i64>("expires-in-ns")?.max(0) as Nanos;
    let prefix = fields.key("shared-prefix")?;
    let session = fields.key("object")?;
    fields.span("expected-ns")?;
    let prefix_tokens = fields.count("prefix-len")?;
    let max_output_tokens = fields.count("n-max")?;
    let class = fields.required("priority")?;
    let tenant = fields.optional("project")?;
    let prompt_tokens = fields.count("prompt-len")?;
    let flags: u64 = fields.integer_or("marks", 0)?;
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
        is_retry: flags & RETRY_BIT != 0,
    })))
}

fn class_index(names: &Names, class: &str) -> Result<ClassIndex, FieldError> {
    let index = names.classes.iter().position(|name| name == class);
    let unknown = || invalid("priority", format_args!("this gateway has no class '{class}'"));
    index.map(ClassIndex).ok_or_else(unknown)
}

fn tenant_index(names: &Names, tenant: Option<&str>) -> Result<Option<TenantIndex>, FieldError> {
    let tenant = tenant.filter(|tenant| *tenant != "0" && !names.tenants.is_empty());
    match tenant.map(|tenant| names.tenants.iter().position(|name| name == tenant)) {
        Some(None) => Err(invalid("project", "this gateway has no such tenant")),
        found => Ok(found.flatten().map(TenantIndex)),
    }
}

fn outcome_event(fields: &mut Fields<'_>) -> Result<Event, FieldError> {
    let id = fields.request_id()?;
    let cached = fields.optional("info")?;
    let cached = cached.map(|text| text.parse().map_err(|_| invalid("info", "not an integer in range")));
    let elapsed = fields.span("rtt-ns")?;
    fields.optional("worker")?;
    let attempt = fields.integer("hop")?;
    let ended = fields.flag("ended")?;
    let verdict = fields.verdict()?;
    let report = fields.report()?;
    let cached_tokens = cached.transpose()?;
    Ok(Event::Outcome { id, attempt, verdict, ended, elapsed, cached_tokens, report })
}

fn first_token_event(fields: &mut Fields<'_>) -> Result<Event, FieldError> {
    let id = fields.request_id()?;
    let elapsed = fields.span("rtt-ns")?;
    fields.optional("worker")?;
    Ok(Event::FirstToken { id, attempt: fields.integer("hop")?, elapsed })
}

fn probe_event(fields: &mut Fields<'_>) -> Result<Event, FieldError> {
    let replica = ReplicaId::from(fields.required("worker")?);
    let verdict = fields.verdict()?;
    let elapsed = fields.span("rtt-ns")?;
    Ok(Event::Probed { replica, verdict, elapsed, report: fields.report()? })
}

fn router_name<'a>(fields: &mut Fields<'a>) -> Result<&'a str, FieldError> {
    let name = fields.required("router")?;
    let is_valid = name.strip_prefix("router_").is_some_and(|n| n.parse::<u32>().is_ok());
    if is_valid { Ok(name) } else { Err(invalid("router", format_args!("'{name}' is not a router name"))) }
}

/// Appends the line of an action to `reply`.
fn write_action(router: &str, action: &Action, reply: &mut String) {
    // Writing to a string never fails.
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
