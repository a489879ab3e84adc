//! The configuration of a gateway: the platform's JSON, and the program's own settings beside it.

mod error;
mod json_tree;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::{env, fs};

use log::LevelFilter;
use serde::Deserialize;
use serde_json::Value;
use snafu::{OptionExt, ResultExt};

use self::error::{
    InvalidValueSnafu, NoFileSnafu, NotAnObjectSnafu, NotJsonSnafu, UnreadableSnafu, ValueSnafu,
};
use self::json_tree::JsonTree;
use crate::admission::quota::Rates;
use crate::api_keys::{self, Keys};
use crate::front::messages::Setup;
use crate::front::messages::models::Model;
use crate::names::{Listing, Names, load_metric_named, number_of};
use crate::settings;
use crate::store::Store;
use crate::types::{Class, Effect, Limits, Nanos, Safety, Scope, Settings, Tenant, UnitsMeaning};

pub use self::error::{ConfigError, ValueError};

/// The configuration of a gateway.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where the platform's clients connect.
    pub listen: SocketAddr,
    /// Where operators' calls come, if the platform says so.
    pub mgmt: Option<SocketAddr>,
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
    /// The load balancer's settings.
    pub settings: Settings,
    /// The names that go with them.
    pub names: Names,
    /// Time for a connection to a replica to come up.
    pub connect: Nanos,
    /// Time after which a replica closes an idle connection.
    pub conn_idle: Nanos,
    /// The messages front's part of the program's own settings, with its names made out.
    pub messages: Setup,
    /// The program's own settings.
    pub own: settings::Settings,
}

/// Where settings are read when nobody says where.
const USUAL_SETTINGS: &str = "deploy/tulipridge.hcl";

/// The files that a gateway is told in; what is absent is looked up in the environment.
#[derive(Clone, Debug, Default)]
pub struct Sources {
    /// The platform's JSON; else what `EDGE_CONFIG` names.
    pub config: Option<String>,
    /// The program's own settings; else what `TULIPRIDGE_SETTINGS` names, else `deploy/tulipridge.hcl` if it is
    /// there.
    pub settings: Option<String>,
}

impl Sources {
    /// The settings' path, if anybody said one or the usual one is there.
    fn settings(&self) -> Option<String> {
        let path = self.settings.clone().or_else(|| env::var("TULIPRIDGE_SETTINGS").ok());
        path.or_else(|| Path::new(USUAL_SETTINGS).exists().then(|| USUAL_SETTINGS.to_owned()))
    }

    /// The platform's JSON, if anybody said where it is.
    #[must_use]
    pub fn config(&self) -> Option<String> {
        self.config.clone().or_else(|| env::var("EDGE_CONFIG").ok())
    }
}

impl Config {
    /// Reads both files. The environment's name and addresses go before the first one's.
    ///
    /// # Errors
    /// What can't be read or makes no sense, with its path.
    pub fn load(sources: &Sources) -> Result<Config, ConfigError> {
        Config::read(sources, true)
    }

    /// Reads both again while the program runs. What the environment said was for the start: it can't have
    /// changed since, and would hide an address that has.
    ///
    /// # Errors
    /// As for [`Config::load`].
    pub fn reload(sources: &Sources) -> Result<Config, ConfigError> {
        Config::read(sources, false)
    }

    fn read(sources: &Sources, environment_first: bool) -> Result<Config, ConfigError> {
        let path = sources.config().context(NoFileSnafu)?;
        let text = fs::read_to_string(&path).context(UnreadableSnafu { path: &path })?;
        let mut config: Value = serde_json::from_str(&text).context(NotJsonSnafu { path: &path })?;
        // Guards against a file of another shape, which has no keys to set.
        if !config.is_object() {
            return NotAnObjectSnafu { path }.fail();
        }
        for (variable, key) in [
            ("EDGE_NAME", "name"),
            ("EDGE_LISTEN", "listen"),
            ("EDGE_DISCOVERY", "discovery"),
            ("EDGE_MGMT", "mgmt"),
        ] {
            if let (Ok(value), true) = (env::var(variable), environment_first || config[key].is_null()) {
                config[key] = value.into();
            }
        }
        let own = match sources.settings() {
            Some(path) => settings::Settings::load(&path)?,
            None => settings::Settings::default(),
        };
        Config::new(&config, own).context(InvalidValueSnafu { path })
    }

    /// What this machine and these settings allow.
    #[must_use]
    pub fn limits(&self) -> crate::limits::Limits {
        let span = std::time::Duration::from_nanos;
        let (connect, idle) = (span(self.connect), span(self.conn_idle));
        let mut limits = crate::limits::Limits::new(self.sockets, self.memory_mb, connect, idle);
        self.own.apply(&mut limits);
        limits
    }

    /// Makes sense of the platform's JSON.
    ///
    /// # Errors
    /// What is missing or makes no sense, with its key.
    pub fn new(config: &Value, own: settings::Settings) -> Result<Config, ValueError> {
        let at = |key: &str| JsonTree { value: &config[key], path: key.to_owned() };
        let addr = |key: &str| {
            let text = at(key).text()?;
            text.parse().ok().context(ValueSnafu { key, problem: "no address with a port" })
        };
        let tree = at("settings");
        let (mut settings, mut names) = balancer_settings(&tree)?;
        settings.list_calls_per_s = own.list.calls_per_s;
        for (kind, speed) in &own.speeds {
            let kind = usize::from(number_of(&mut names.kinds, kind));
            settings.speeds.resize(settings.speeds.len().max(kind + 1), 1.0);
            settings.speeds[kind] = *speed;
        }
        // The settings name classes and tenants that only the platform's file knows.
        let class = |key: &str, name: &String| {
            let problem = format!("no class is called '{name}'");
            names.class(name).context(ValueSnafu { key: format!("settings' messages.{key}"), problem })
        };
        let models = own.messages.classes.iter();
        let models = models.map(|(m, c)| Ok((m.clone(), class(&format!("classes.{m}"), c)?)));
        let models = models.collect::<Result<_, ValueError>>()?;
        let usual_class = own.messages.class.as_ref().map_or(Ok(0), |name| class("class", name))?;
        let tenant = |name: &String| {
            let problem = format!("no tenant is called '{name}'");
            names.tenant(name).context(ValueSnafu { key: "settings' messages.tenant", problem })
        };
        names.usual_tenant = own.messages.tenant.as_ref().map(tenant).transpose()?;
        (names.models, names.usual_class) = (models, usual_class);
        let messages = messages_setup(&own.messages, &names)?;
        names.dialects = own.dialects.clone();
        let seed = at("seed").text().unwrap_or_default();
        let known = match &config["known"] {
            Value::Null => Listing::default(),
            known => match Listing::deserialize(known) {
                Ok(known) => known,
                Err(error) => return ValueSnafu { key: "known", problem: error.to_string() }.fail(),
            },
        };
        Ok(Config {
            name: at("name").text()?,
            listen: addr("listen")?,
            mgmt: if config["mgmt"].is_null() { None } else { Some(addr("mgmt")?) },
            discovery: addr("discovery")?,
            seed: u64::from_str_radix(&seed, 16)
                .ok()
                .context(ValueSnafu { key: "seed", problem: "not hex digits" })?,
            sockets: at("limits").at("sockets").number(1024.0)? as usize,
            memory_mb: at("limits").at("memory_mb").number(192.0)? as usize,
            known,
            connect: tree.at("policy-limits").at("connect-timeout-ns").nanos(150_000_000)?,
            conn_idle: tree.at("policy-limits").at("conn-idle-ns").nanos(5_000_000_000)?,
            settings,
            names,
            messages,
            own,
        })
    }
}

/// Makes out the names of tenants that the messages front's settings use.
fn messages_setup(own: &settings::Messages, names: &Names) -> Result<Setup, ValueError> {
    let tenant = |place: &str, name: &str| {
        let problem = format!("no tenant is called '{name}'");
        names.tenant(name).context(ValueSnafu { key: format!("settings' messages.{place}"), problem })
    };
    let mut keys = Vec::new();
    for (name, key) in &own.keys {
        let of = key.tenant.as_ref().map(|t| tenant(&format!("keys.{name}.tenant"), t)).transpose()?;
        let hash = api_keys::hash_of(&key.sha256).unwrap_or_default();
        keys.push(api_keys::Key { name: name.clone(), hash, tenant: of, models: key.models.clone() });
    }
    let mut rates = vec![Rates::default(); names.tenants.len()];
    for (name, limits) in &own.limits {
        rates[tenant(&format!("limits.{name}"), name)?] =
            Rates { requests: limits.requests, input: limits.input_tokens, output: limits.output_tokens };
    }
    let model = |(id, model): (&String, &settings::Model)| {
        let model = Model {
            display_name: model.name.clone().unwrap_or_else(|| id.clone()),
            created_at: model.created.clone().unwrap_or_else(|| "1970-01-01T00:00:00Z".into()),
            max_input_tokens: model.input_tokens,
            max_tokens: model.output_tokens,
        };
        (id.clone(), model)
    };
    let mut models: BTreeMap<String, Model> = own.models.iter().map(model).collect();
    // A model that has a class is one to be told of, too.
    for id in own.classes.keys() {
        models.entry(id.clone()).or_insert_with(|| model((id, &settings::Model::default())).1);
    }
    Ok(Setup { keys: Keys::new(keys), models, only_listed: own.only_listed, rates })
}

/// Brings what may change while the program runs in step with the store: `config/log-level` (a level's name)
/// and `config/models/NAME` (a class's name, for the messages front). What makes no sense is passed over, and
/// what is taken away goes back to what the file said.
pub fn follow(store: &Store, names: &mut Names, file: &settings::Messages, level: LevelFilter) {
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

/// The load balancer's settings, and the names that the platform's JSON uses in them.
fn balancer_settings(tree: &JsonTree<'_>) -> Result<(Settings, Names), ValueError> {
    let mut names = Names {
        zones: tree.at("localities").texts()?,
        kinds: tree.at("shapes").texts()?,
        load_metrics: tree.at("report").at("fields").texts()?,
        ..Names::default()
    };
    let classes = classes(tree, &mut names)?;
    let tenants = tenants(tree, &mut names)?;
    let zone = tree.at("zone").text_or("")?;
    let policy = tree.at("policy-limits");
    let max_retry_after =
        if policy.at("retry-after").flag()? { policy.at("max-retry-after-ns").nanos(0)? } else { 0 };
    let settings = Settings {
        has_prefix_transfer: false,
        group_size: tree.at("group-size").number(1.0)? as u32,
        gateway_index: tree.at("me").number(0.0)? as u32,
        zone: (!zone.is_empty()).then(|| number_of(&mut names.zones, &zone)),
        has_pushed_list: has_pushed_list(tree)?,
        tick: tree.at("granularity-ns").nanos(0)?,
        classes,
        tenants,
        over_share_value: tree.at("over-share-worth").number(1.0)?,
        limits: limits(&policy, max_retry_after)?,
        safety: safety(&tree.at("safety"))?,
        units: units_meaning(tree)?,
        load_metrics: names.load_metrics.iter().map(|name| load_metric_named(name)).collect(),
        speeds: Vec::new(),
        list_calls_per_s: None,
    };
    Ok((settings, names))
}

fn classes(tree: &JsonTree<'_>, names: &mut Names) -> Result<Vec<Class>, ValueError> {
    let family = tree.at("family-info");
    let per_token = family.at("aim-us-per-1000-prompt-tokens").each();
    let inter_token = family.at("token-aim-ns").each();
    let mut classes = Vec::new();
    for (index, lane) in tree.at("lanes").each().iter().enumerate() {
        names.classes.push(lane.at("name").text()?);
        let effect = effect(lane)?;
        names.safe.push(effect == Effect::Safe);
        let of_class = |list: &[JsonTree<'_>]| list.get(index).map_or(Ok(0), |target| target.nanos(0));
        let deadline = lane.at("deadline-ns").nanos(0)?;
        names.deadlines.push(deadline);
        classes.push(Class {
            latency_target: lane.at("promise-ns").nanos(0)?,
            // Microseconds for a thousand tokens are nanoseconds for one.
            latency_target_per_token: of_class(&per_token)?,
            inter_token_target: of_class(&inter_token)?,
            deadline,
            effect,
            value: lane.at("points").number(1.0)?,
            late_value: lane.at("late-worth").number(0.0)?,
            stream: lane.at("stream").flag()?,
        });
    }
    Ok(classes)
}

fn effect(lane: &JsonTree<'_>) -> Result<Effect, ValueError> {
    let scope = match lane.at("key-scope").text_or("all")?.as_str() {
        "all" => Scope::All,
        "zone" => Scope::Zone,
        "cell" => Scope::Cell,
        _ => return lane.at("key-scope").fault("no known group"),
    };
    match lane.at("effect").text()?.as_str() {
        "retryable" => Ok(Effect::Safe),
        "dedup" => Ok(Effect::Keyed { scope, window: lane.at("key-ttl-ns").nanos(0)? }),
        "fragile" => Ok(Effect::Unsafe),
        _ => lane.at("effect").fault("no known effect"),
    }
}

fn tenants(tree: &JsonTree<'_>, names: &mut Names) -> Result<Vec<Tenant>, ValueError> {
    let mut tenants = Vec::new();
    for account in tree.at("accounts").each() {
        names.tenants.push(account.at("name").text()?);
        let quota = account.at("quota-per-s");
        let quota_per_s = if quota.value.is_null() { None } else { Some(quota.number(0.0)?) };
        tenants.push(Tenant { share: account.at("share").number(0.0)?, quota_per_s });
    }
    Ok(tenants)
}

fn has_pushed_list(tree: &JsonTree<'_>) -> Result<bool, ValueError> {
    match tree.at("discovery").text_or("push")?.as_str() {
        "push" => Ok(true),
        "ask" => Ok(false),
        _ => tree.at("discovery").fault("no known way"),
    }
}

fn limits(policy: &JsonTree<'_>, max_retry_after: Nanos) -> Result<Limits, ValueError> {
    Ok(Limits {
        max_attempts: policy.at("send-cap").number(1.0)? as u32,
        hedging: policy.at("second-copies").flag()?,
        cancellation: policy.at("cancel").flag()?,
        probes: policy.at("probes").flag()?,
        peer_messages: policy.at("may-tell").flag()?,
        max_retry_after,
    })
}

fn safety(tree: &JsonTree<'_>) -> Result<Safety, ValueError> {
    Ok(Safety {
        initial_capacity: tree.at("cold-from").number(1.0)?,
        slow_start_window: tree.at("ramp-time-ns").nanos(0)?,
        overload_factor: tree.at("overload-factor").number(1.0)?,
        overload_window: tree.at("fall-ns").nanos(0)?,
        max_list_age: tree.at("ask-within-ns").nanos(10_000_000_000)?,
    })
}

fn units_meaning(tree: &JsonTree<'_>) -> Result<UnitsMeaning, ValueError> {
    match tree.at("weight-source").text_or("silent")?.as_str() {
        "nominal" | "rough" => Ok(UnitsMeaning::Size),
        "live" => Ok(UnitsMeaning::Live),
        "silent" => Ok(UnitsMeaning::None),
        _ => tree.at("weight-source").fault("not known"),
    }
}
