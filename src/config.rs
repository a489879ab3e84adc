//! What a gateway is told at its start: the platform's JSON, and the daemon's own file.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::{env, fs};

use log::LevelFilter;
use serde::Deserialize;
use serde_json::Value;

use crate::front::Dialect;
use crate::store::Store;
use crate::types::*;

/// A line of discovery's list.
#[derive(Clone, Debug, Deserialize)]
pub struct ServiceEntry {
    /// The real server's id.
    pub id: String,
    /// Its address for this gateway.
    #[serde(default)]
    pub addr: String,
    /// Its zone.
    #[serde(default)]
    pub zone: String,
    /// Its kind of machine.
    #[serde(default)]
    pub kind: String,
    /// Its cell.
    #[serde(default)]
    pub cell: u64,
    /// Its state.
    pub state: State,
    /// Its size, as the settings say.
    #[serde(default = "one")]
    pub weight: f64,
    /// Its last start in Unix milliseconds; 0 is long ago.
    #[serde(default)]
    pub started_ms: f64,
}

fn one() -> f64 {
    1.0
}

/// What discovery says of a real server.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It runs.
    Ready,
    /// It wants nothing new.
    Draining,
    /// It has left.
    Gone,
}

/// An answer of discovery.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Listing {
    /// The list's version.
    #[serde(default)]
    pub version: u64,
    /// It is the whole list.
    #[serde(default)]
    pub full: bool,
    /// The entries.
    #[serde(default)]
    pub servers: Vec<ServiceEntry>,
}

/// The names that requests and lists use, with what goes with them.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// The classes' names.
    pub classes: Vec<String>,
    /// The tenants' names.
    pub tenants: Vec<String>,
    zones: Vec<String>,
    kinds: Vec<String>,
    /// The names of a load report's values, in the settings' order.
    pub gauges: Vec<String>,
    /// The classes' deadlines.
    pub deadlines: Vec<Nanos>,
    /// Classes by model, for the messages front.
    pub models: BTreeMap<String, usize>,
    /// The class of other models.
    pub usual_class: usize,
    /// The tenant of requests that name none on the messages front.
    pub usual_tenant: Option<usize>,
    dialects: BTreeMap<String, Dialect>,
}

impl Names {
    /// A class's index.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|n| n == name)
    }

    /// A tenant's index.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        self.tenants.iter().position(|n| n == name)
    }

    /// The dialect of a kind of real server.
    pub fn dialect(&self, kind: &str) -> Dialect {
        self.dialects.get(kind).copied().unwrap_or_default()
    }

    /// A service entry as the module takes it. New zones and kinds get the next numbers.
    pub fn member(&mut self, entry: &ServiceEntry) -> Member {
        Member {
            id: ReplicaId::from(entry.id.as_str()),
            units: entry.weight,
            zone: number_of(&mut self.zones, &entry.zone),
            kind: number_of(&mut self.kinds, &entry.kind),
            cell: entry.cell,
            phase: match entry.state {
                State::Ready => Phase::Ready,
                State::Draining => Phase::Draining,
                State::Gone => Phase::Gone,
            },
            // The module's clock is Unix time too.
            started: (entry.started_ms > 0.0).then_some((entry.started_ms * 1e6) as Nanos),
        }
    }

    /// A load report (`TEXT util=0.6, eps=0`) in the settings' order; a value not told is not a number.
    pub fn report(&self, text: &str) -> Vec<f64> {
        let pairs = text.split([',', ' ']).filter_map(|p| p.split_once('='));
        let told: BTreeMap<&str, f64> = pairs.filter_map(|(k, v)| Some((k, v.parse().ok()?))).collect();
        self.gauges.iter().map(|name| told.get(name.as_str()).copied().unwrap_or(f64::NAN)).collect()
    }
}

fn number_of(names: &mut Vec<String>, name: &str) -> u16 {
    let known = names.iter().position(|n| n == name).unwrap_or_else(|| {
        names.push(name.to_owned());
        names.len() - 1
    });
    known.min(usize::from(u16::MAX)) as u16
}

/// The daemon's own file, `deploy/daemon.json`. On the platform all of it is off.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Daemon {
    /// The messages front.
    pub messages: MessagesFile,
    /// Dialects of real servers by their kind; the platform's where nothing is said.
    pub dialects: BTreeMap<String, String>,
    /// The replicated store.
    pub store: StoreFile,
    /// The log.
    pub syslog: SyslogFile,
}

/// The messages front's part.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MessagesFile {
    /// Where it listens; off if absent.
    pub listen: Option<SocketAddr>,
    /// Classes by model.
    pub classes: BTreeMap<String, String>,
    /// The class of other models; else the settings' first.
    pub class: Option<String>,
    /// The tenant of requests that name none.
    pub tenant: Option<String>,
}

/// The store's part.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StoreFile {
    /// Where peers connect; off if absent.
    pub listen: Option<SocketAddr>,
    /// The peers.
    pub peers: Vec<SocketAddr>,
}

/// The log's part.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SyslogFile {
    /// A collector that takes RFC 5424 over TCP; standard error if absent.
    pub tcp: Option<SocketAddr>,
}

/// All that a gateway is told.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where the platform's clients connect.
    pub listen: SocketAddr,
    /// Where discovery listens.
    pub discovery: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// Descriptors it may hold.
    pub sockets: usize,
    /// Memory that it may use, in MB.
    pub memory_mb: usize,
    /// Its last list.
    pub known: Listing,
    /// The module's settings.
    pub settings: Settings,
    /// The names that go with them.
    pub names: Names,
    /// Time for a connection to a real server to come up.
    pub connect: Nanos,
    /// Time after which a real server closes an idle connection.
    pub conn_idle: Nanos,
    /// The daemon's own file.
    pub daemon: Daemon,
}

impl Config {
    /// Reads the file that `EDGE_CONFIG` names, and the daemon's own. The environment goes before it.
    pub fn load() -> Result<Config, String> {
        Config::read(true)
    }

    /// Reads both again while the program runs. What the environment said was for the start: it can't have
    /// changed since, and would hide an address that has.
    pub fn reload() -> Result<Config, String> {
        Config::read(false)
    }

    fn read(environment_first: bool) -> Result<Config, String> {
        let read = |path: &str| fs::read_to_string(path).map_err(|e| format!("{path}: {e}"));
        let path = env::var("EDGE_CONFIG").map_err(|_| "EDGE_CONFIG is not set")?;
        let own = env::var("TULIPRIDGE_DAEMON").unwrap_or_else(|_| "deploy/daemon.json".into());
        let mut config: Value = serde_json::from_str(&read(&path)?).map_err(|e| format!("{path}: {e}"))?;
        // Guards against a file of another shape, which has no keys to set.
        if !config.is_object() {
            return Err(format!("{path}: not an object"));
        }
        for (variable, key) in
            [("EDGE_NAME", "name"), ("EDGE_LISTEN", "listen"), ("EDGE_DISCOVERY", "discovery")]
        {
            if let (Ok(value), true) = (env::var(variable), environment_first || config[key].is_null()) {
                config[key] = value.into();
            }
        }
        let daemon: Daemon = serde_json::from_str(&read(&own)?).map_err(|e| format!("{own}: {e}"))?;
        Config::new(&config, daemon)
    }

    /// Makes sense of the platform's JSON.
    pub fn new(config: &Value, daemon: Daemon) -> Result<Config, String> {
        let at = |key: &str| Tree { value: &config[key], path: key.to_owned() };
        let addr =
            |key: &str| at(key).text()?.parse().map_err(|_| format!("{key}: no address with a port"));
        let tree = at("settings");
        let (settings, mut names) = settings(&tree)?;
        let class = |name: &String| names.class(name).ok_or_else(|| format!("messages: no class {name}"));
        let models = daemon.messages.classes.iter().map(|(m, c)| Ok((m.clone(), class(c)?)));
        let models = models.collect::<Result<_, String>>()?;
        let usual_class = daemon.messages.class.as_ref().map_or(Ok(0), class)?;
        let tenant =
            |name: &String| names.tenant(name).ok_or_else(|| format!("messages: no tenant {name}"));
        names.usual_tenant = daemon.messages.tenant.as_ref().map(tenant).transpose()?;
        (names.models, names.usual_class) = (models, usual_class);
        for (kind, dialect) in &daemon.dialects {
            let dialect = match dialect.as_str() {
                "platform" => Dialect::Platform,
                "messages" => Dialect::Messages,
                other => return Err(format!("dialects.{kind}: '{other}' is no known dialect")),
            };
            names.dialects.insert(kind.clone(), dialect);
        }
        let seed = at("seed").text().unwrap_or_default();
        let known = match &config["known"] {
            Value::Null => Listing::default(),
            known => Listing::deserialize(known).map_err(|e| format!("known: {e}"))?,
        };
        Ok(Config {
            name: at("name").text()?,
            listen: addr("listen")?,
            discovery: addr("discovery")?,
            seed: u64::from_str_radix(&seed, 16).map_err(|_| "seed: not hex digits")?,
            sockets: at("limits").at("sockets").number(1024.0)? as usize,
            memory_mb: at("limits").at("memory_mb").number(192.0)? as usize,
            known,
            connect: tree.at("policy-limits").at("connect-timeout-ns").nanos(150_000_000)?,
            conn_idle: tree.at("policy-limits").at("conn-idle-ns").nanos(5_000_000_000)?,
            settings,
            names,
            daemon,
        })
    }
}

/// Brings what may change while the program runs in step with the store: `config/log-level` (a level's name)
/// and `config/models/NAME` (a class's name, for the messages front). What makes no sense is passed over, and
/// what is taken away goes back to what the file said.
pub fn follow(store: &Store, names: &mut Names, file: &MessagesFile, level: LevelFilter) {
    let wanted = store.get("config/log-level").and_then(|v| v.as_str().and_then(|l| l.parse().ok()));
    log::set_max_level(wanted.unwrap_or(level));
    let mut models = file.classes.clone();
    for (key, class) in store.under("config/models/") {
        if let (Some(model), Some(class)) = (key.strip_prefix("config/models/"), class.as_str()) {
            models.insert(model.to_owned(), class.to_owned());
        }
    }
    names.models = models.into_iter().filter_map(|(m, c)| Some((m, names.class(&c)?))).collect();
}

/// A place in a JSON value, which knows its path so that a fault can name it.
struct Tree<'a> {
    value: &'a Value,
    path: String,
}

impl<'a> Tree<'a> {
    fn at(&self, key: &str) -> Tree<'a> {
        Tree { value: &self.value[key], path: format!("{}.{key}", self.path) }
    }

    fn each(&self) -> Vec<Tree<'a>> {
        let items = self.value.as_array().map(Vec::as_slice).unwrap_or_default();
        let item = |(n, value)| Tree { value, path: format!("{}.{n}", self.path) };
        items.iter().enumerate().map(item).collect()
    }

    fn fault<T>(&self, what: &str) -> Result<T, String> {
        Err(format!("{}: {what}", self.path))
    }

    fn text(&self) -> Result<String, String> {
        match self.value.as_str() {
            Some(text) => Ok(text.to_owned()),
            None => self.fault("a text is missing"),
        }
    }

    fn text_or(&self, absent: &str) -> Result<String, String> {
        if self.value.is_null() { Ok(absent.to_owned()) } else { self.text() }
    }

    fn number(&self, absent: f64) -> Result<f64, String> {
        match (self.value, self.value.as_f64()) {
            (Value::Null, _) => Ok(absent),
            (_, Some(number)) => Ok(number),
            _ => self.fault("not a number"),
        }
    }

    fn nanos(&self, absent: Nanos) -> Result<Nanos, String> {
        match self.number(absent as f64)? {
            span if span >= 0.0 => Ok(span as Nanos),
            _ => self.fault("negative"),
        }
    }

    fn flag(&self) -> Result<bool, String> {
        match self.value {
            Value::Null => Ok(false),
            Value::Bool(flag) => Ok(*flag),
            _ => self.fault("neither true nor false"),
        }
    }

    fn texts(&self) -> Result<Vec<String>, String> {
        self.each().iter().map(Tree::text).collect()
    }
}

/// The settings, as the adapter reads them from the simulator's wire.
fn settings(tree: &Tree) -> Result<(Settings, Names), String> {
    let mut names = Names {
        zones: tree.at("localities").texts()?,
        kinds: tree.at("shapes").texts()?,
        gauges: tree.at("report").at("fields").texts()?,
        ..Names::default()
    };
    let family = tree.at("family-info");
    let (slopes, paces) =
        (family.at("aim-us-per-1000-prompt-tokens").each(), family.at("token-aim-ns").each());
    let mut classes = Vec::new();
    for (n, lane) in tree.at("lanes").each().iter().enumerate() {
        names.classes.push(lane.at("name").text()?);
        let scope = match lane.at("key-scope").text_or("all")?.as_str() {
            "all" => Scope::All,
            "zone" => Scope::Zone,
            "cell" => Scope::Cell,
            _ => return lane.at("key-scope").fault("no known group"),
        };
        let effect = match lane.at("effect").text()?.as_str() {
            "retryable" => Effect::Safe,
            "dedup" => Effect::Keyed { scope, window: lane.at("key-ttl-ns").nanos(0)? },
            "fragile" => Effect::Unsafe,
            _ => return lane.at("effect").fault("no known effect"),
        };
        let of_class = |list: &[Tree]| list.get(n).map_or(Ok(0), |t| t.nanos(0));
        let deadline = lane.at("deadline-ns").nanos(0)?;
        names.deadlines.push(deadline);
        classes.push(Class {
            aim: lane.at("promise-ns").nanos(0)?,
            // Microseconds for a thousand tokens are nanoseconds for one.
            aim_per_token: of_class(&slopes)?,
            token_aim: of_class(&paces)?,
            deadline,
            effect,
            worth: lane.at("points").number(1.0)?,
            late_worth: lane.at("late-worth").number(0.0)?,
            stream: lane.at("stream").flag()?,
        });
    }
    let mut tenants = Vec::new();
    for account in tree.at("accounts").each() {
        names.tenants.push(account.at("name").text()?);
        let quota = account.at("quota-per-s");
        let quota_per_s = if quota.value.is_null() { None } else { Some(quota.number(0.0)?) };
        tenants.push(Tenant { share: account.at("share").number(0.0)?, quota_per_s });
    }
    let zone = tree.at("zone").text_or("")?;
    let policy = tree.at("policy-limits");
    let safety = tree.at("safety");
    let retry_after =
        if policy.at("retry-after").flag()? { policy.at("max-retry-after-ns").nanos(0)? } else { 0 };
    let gauge = |name: &String| match name.as_str() {
        "inflight" => Gauge::InFlight,
        "queue" => Gauge::Queue,
        "util" => Gauge::Utilisation,
        "latency_ms" => Gauge::Latency,
        "qps" => Gauge::Rate,
        "eps" => Gauge::Errors,
        "x0" => Gauge::Memory,
        "x1" => Gauge::Unread,
        _ => Gauge::Other,
    };
    let settings = Settings {
        group_size: tree.at("group-size").number(1.0)? as u32,
        me: tree.at("me").number(0.0)? as u32,
        zone: (!zone.is_empty()).then(|| number_of(&mut names.zones, &zone)),
        push: match tree.at("discovery").text_or("push")?.as_str() {
            "push" => true,
            "ask" => false,
            _ => return tree.at("discovery").fault("no known way"),
        },
        tick: tree.at("granularity-ns").nanos(0)?,
        classes,
        tenants,
        over_share_worth: tree.at("over-share-worth").number(1.0)?,
        limits: Limits {
            attempts: policy.at("send-cap").number(1.0)? as u32,
            second_copies: policy.at("second-copies").flag()?,
            cancel: policy.at("cancel").flag()?,
            probes: policy.at("probes").flag()?,
            peers: policy.at("may-tell").flag()?,
            retry_after,
        },
        safety: Safety {
            cold_from: safety.at("cold-from").number(1.0)?,
            ramp: safety.at("ramp-time-ns").nanos(0)?,
            overload_factor: safety.at("overload-factor").number(1.0)?,
            fall: safety.at("fall-ns").nanos(0)?,
            ask_within: safety.at("ask-within-ns").nanos(10_000_000_000)?,
        },
        units: match tree.at("weight-source").text_or("silent")?.as_str() {
            "nominal" | "rough" => Units::Size,
            "live" => Units::Live,
            "silent" => Units::None,
            _ => return tree.at("weight-source").fault("not known"),
        },
        gauges: names.gauges.iter().map(gauge).collect(),
    };
    Ok((settings, names))
}
