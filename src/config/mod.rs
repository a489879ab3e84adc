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
use crate::types::{
    Class, Effect, Limits, Nanos, Scope, Settings, SlowStartSettings, Tenant, UnitsMeaning,
};

pub use self::error::{ConfigError, ValueError};

/// The configuration of a gateway.
#[derive(Clone, Debug)]
pub struct Config {
    /// The name of the gateway.
    pub name: String,
    /// The address for the platform's clients.
    pub listen: SocketAddr,
    /// The address for operators' calls, if the platform sets one.
    pub management: Option<SocketAddr>,
    /// The address of the list service.
    pub discovery: SocketAddr,
    /// The seed of the random number generators.
    pub seed: u64,
    /// The maximum number of open file descriptors.
    pub sockets: usize,
    /// The memory limit, in MB.
    pub memory_mb: usize,
    /// The last known replica list.
    pub known: Listing,
    /// The load balancer's settings.
    pub settings: Settings,
    /// The names that the load balancer's settings use.
    pub names: Names,
    /// The connect timeout for replicas.
    pub connect: Nanos,
    /// Time after which a replica closes an idle connection.
    pub conn_idle: Nanos,
    /// The messages front's part of the program's own settings, with tenant names resolved.
    pub messages: Setup,
    /// The program's own settings.
    pub own: settings::Settings,
}

/// The settings file that is read if neither the command line nor the environment names one.
const DEFAULT_SETTINGS_PATH: &str = "deploy/tulipridge.hcl";

/// The paths of the configuration files; a missing path is looked up in the environment.
#[derive(Clone, Debug, Default)]
pub struct Sources {
    /// The platform's JSON; by default the file that `EDGE_CONFIG` names.
    pub config: Option<String>,
    /// The program's own settings; by default the file that `TULIPRIDGE_SETTINGS` names, else
    /// `deploy/tulipridge.hcl` if it exists.
    pub settings: Option<String>,
}

impl Sources {
    /// The path of the settings file, if one is named or the default file exists.
    fn settings(&self) -> Option<String> {
        let path = self.settings.clone().or_else(|| env::var("TULIPRIDGE_SETTINGS").ok());
        path.or_else(|| Path::new(DEFAULT_SETTINGS_PATH).exists().then(|| DEFAULT_SETTINGS_PATH.to_owned()))
    }

    /// The path of the platform's JSON, if one is named.
    #[must_use]
    pub fn config(&self) -> Option<String> {
        self.config.clone().or_else(|| env::var("EDGE_CONFIG").ok())
    }
}

impl Config {
    /// Reads both files. The name and addresses in the environment take precedence over those in the platform's JSON.
    ///
    /// # Errors
    /// If a file can't be read or is invalid.
    pub fn load(sources: &Sources) -> Result<Config, ConfigError> {
        Config::read(sources, true)
    }

    /// Reads both files again while the program runs. The files take precedence over the environment, which can't
    /// change while the program runs and would hide a changed address.
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
        // Setting a key of a value that is not an object would panic.
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

    /// The limits that follow from the size of the machine and the settings.
    #[must_use]
    pub fn limits(&self) -> crate::limits::Limits {
        let span = std::time::Duration::from_nanos;
        let (connect, idle) = (span(self.connect), span(self.conn_idle));
        let mut limits = crate::limits::Limits::new(self.sockets, self.memory_mb, connect, idle);
        self.own.apply(&mut limits);
        limits
    }

    /// Parses the platform's JSON.
    ///
    /// # Errors
    /// If a value is missing or invalid.
    pub fn new(config: &Value, own: settings::Settings) -> Result<Config, ValueError> {
        let at = |key: &str| JsonTree { value: &config[key], path: key.to_owned() };
        let addr = |key: &str| {
            let text = at(key).string()?;
            text.parse().ok().context(ValueSnafu { key, problem: "not an address with a port" })
        };
        let tree = at("settings");
        let (mut settings, mut names) = balancer_settings(&tree)?;
        settings.list_calls_per_s = own.list.calls_per_s;
        for (kind, speed) in &own.speeds {
            let kind = usize::from(number_of(&mut names.kinds, kind));
            settings.speeds.resize(settings.speeds.len().max(kind + 1), 1.0);
            settings.speeds[kind] = *speed;
        }
        // Classes and tenants named in the settings are defined in the platform's file.
        let class = |key: &str, name: &String| {
            let problem = format!("there is no class named '{name}'");
            names.class(name).context(ValueSnafu { key: format!("settings' messages.{key}"), problem })
        };
        let models = own.messages.classes.iter();
        let models = models.map(|(m, c)| Ok((m.clone(), class(&format!("classes.{m}"), c)?)));
        let models = models.collect::<Result<_, ValueError>>()?;
        let default_class = own.messages.class.as_ref().map_or(Ok(0), |name| class("class", name))?;
        let tenant = |name: &String| {
            let problem = format!("there is no tenant named '{name}'");
            names.tenant(name).context(ValueSnafu { key: "settings' messages.tenant", problem })
        };
        names.default_tenant = own.messages.tenant.as_ref().map(tenant).transpose()?;
        (names.models, names.default_class) = (models, default_class);
        let messages = messages_setup(&own.messages, &names)?;
        names.dialects = own.dialects.clone();
        let seed = at("seed").string().unwrap_or_default();
        let known = match &config["known"] {
            Value::Null => Listing::default(),
            known => match Listing::deserialize(known) {
                Ok(known) => known,
                Err(error) => return ValueSnafu { key: "known", problem: error.to_string() }.fail(),
            },
        };
        Ok(Config {
            name: at("name").string()?,
            listen: addr("listen")?,
            management: if config["mgmt"].is_null() { None } else { Some(addr("mgmt")?) },
            discovery: addr("discovery")?,
            seed: u64::from_str_radix(&seed, 16)
                .ok()
                .context(ValueSnafu { key: "seed", problem: "not a hexadecimal number of 64 bits" })?,
            sockets: at("limits").at("sockets").number_or(1024.0)? as usize,
            memory_mb: at("limits").at("memory_mb").number_or(192.0)? as usize,
            known,
            connect: tree.at("policy-limits").at("connect-timeout-ns").nanos_or(150_000_000)?,
            conn_idle: tree.at("policy-limits").at("conn-idle-ns").nanos_or(5_000_000_000)?,
            settings,
            names,
            messages,
            own,
        })
    }
}

/// Resolves the tenant names in the messages front's settings.
fn messages_setup(own: &settings::Messages, names: &Names) -> Result<Setup, ValueError> {
    let tenant = |path: &str, name: &str| {
        let problem = format!("there is no tenant named '{name}'");
        names.tenant(name).context(ValueSnafu { key: format!("settings' messages.{path}"), problem })
    };
    let mut keys = Vec::new();
    for (name, key) in &own.keys {
        let owner = key.tenant.as_ref().map(|t| tenant(&format!("keys.{name}.tenant"), t)).transpose()?;
        let hash = api_keys::hash_of(&key.sha256).unwrap_or_default();
        keys.push(api_keys::Key { name: name.clone(), hash, tenant: owner, models: key.models.clone() });
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
    // Models with a class are listed to clients, too.
    for id in own.classes.keys() {
        models.entry(id.clone()).or_insert_with(|| model((id, &settings::Model::default())).1);
    }
    Ok(Setup { keys: Keys::new(keys), models, only_listed: own.only_listed, rates })
}

/// Applies the settings that the store may change while the program runs: `config/log-level` (a level's name)
/// and `config/models/NAME` (a class's name, for the messages front). Invalid values are ignored, and removed
/// ones fall back to the file's.
pub fn follow(store: &Store, names: &mut Names, file: &settings::Messages, level: LevelFilter) {
    let level_in_store =
        store.get("config/log-level").and_then(|v| v.as_str().and_then(|l| l.parse().ok()));
    log::set_max_level(level_in_store.unwrap_or(level));
    let mut models = file.classes.clone();
    for (key, class) in store.values_with_prefix("config/models/") {
        if let (Some(model), Some(class)) = (key.strip_prefix("config/models/"), class.as_str()) {
            models.insert(model.to_owned(), class.to_owned());
        }
    }
    names.models = models.into_iter().filter_map(|(m, c)| Some((m, names.class(&c)?))).collect();
}

/// The load balancer's settings, and the names that the platform's JSON uses in them.
fn balancer_settings(tree: &JsonTree<'_>) -> Result<(Settings, Names), ValueError> {
    let mut names = Names {
        zones: tree.at("localities").strings()?,
        kinds: tree.at("shapes").strings()?,
        load_metrics: tree.at("report").at("fields").strings()?,
        ..Names::default()
    };
    let classes = classes(tree, &mut names)?;
    let tenants = tenants(tree, &mut names)?;
    let zone = tree.at("zone").string_or("")?;
    let policy = tree.at("policy-limits");
    let max_retry_after = if policy.at("retry-after").bool_or_false()? {
        policy.at("max-retry-after-ns").nanos_or(0)?
    } else {
        0
    };
    let settings = Settings {
        has_prefix_transfer: false,
        group_size: tree.at("group-size").number_or(1.0)? as u32,
        gateway_index: tree.at("me").number_or(0.0)? as u32,
        zone: (!zone.is_empty()).then(|| number_of(&mut names.zones, &zone)),
        has_pushed_list: has_pushed_list(tree)?,
        tick: tree.at("granularity-ns").nanos_or(0)?,
        classes,
        tenants,
        over_share_value: tree.at("over-share-worth").number_or(1.0)?,
        limits: limits(&policy, max_retry_after)?,
        slow_start: slow_start(&tree.at("safety"))?,
        units_meaning: units_meaning(tree)?,
        load_metrics: names.load_metrics.iter().map(|name| load_metric_named(name)).collect(),
        speeds: Vec::new(),
        list_calls_per_s: None,
    };
    Ok((settings, names))
}

fn classes(tree: &JsonTree<'_>, names: &mut Names) -> Result<Vec<Class>, ValueError> {
    let family = tree.at("family-info");
    let per_token = family.at("aim-us-per-1000-prompt-tokens").items();
    let inter_token = family.at("token-aim-ns").items();
    let mut classes = Vec::new();
    for (index, class) in tree.at("lanes").items().iter().enumerate() {
        names.classes.push(class.at("name").string()?);
        let effect = effect(class)?;
        names.is_class_idempotent.push(effect == Effect::Safe);
        let target_of_class =
            |list: &[JsonTree<'_>]| list.get(index).map_or(Ok(0), |target| target.nanos_or(0));
        let deadline = class.at("deadline-ns").nanos_or(0)?;
        names.deadlines.push(deadline);
        classes.push(Class {
            latency_target: class.at("promise-ns").nanos_or(0)?,
            // Microseconds per 1000 tokens equal nanoseconds per token.
            latency_target_per_token: target_of_class(&per_token)?,
            inter_token_target: target_of_class(&inter_token)?,
            deadline,
            effect,
            value: class.at("points").number_or(1.0)?,
            late_value: class.at("late-worth").number_or(0.0)?,
            stream: class.at("stream").bool_or_false()?,
        });
    }
    Ok(classes)
}

fn effect(class: &JsonTree<'_>) -> Result<Effect, ValueError> {
    let scope = match class.at("key-scope").string_or("all")?.as_str() {
        "all" => Scope::All,
        "zone" => Scope::Zone,
        "cell" => Scope::Cell,
        _ => return class.at("key-scope").error("unknown key scope"),
    };
    match class.at("effect").string()?.as_str() {
        "retryable" => Ok(Effect::Safe),
        "dedup" => Ok(Effect::Keyed { scope, window: class.at("key-ttl-ns").nanos_or(0)? }),
        "fragile" => Ok(Effect::Unsafe),
        _ => class.at("effect").error("unknown effect"),
    }
}

fn tenants(tree: &JsonTree<'_>, names: &mut Names) -> Result<Vec<Tenant>, ValueError> {
    let mut tenants = Vec::new();
    for account in tree.at("accounts").items() {
        names.tenants.push(account.at("name").string()?);
        let quota = account.at("quota-per-s");
        let quota_per_s = if quota.value.is_null() { None } else { Some(quota.number_or(0.0)?) };
        tenants.push(Tenant { share: account.at("share").number_or(0.0)?, quota_per_s });
    }
    Ok(tenants)
}

fn has_pushed_list(tree: &JsonTree<'_>) -> Result<bool, ValueError> {
    match tree.at("discovery").string_or("push")?.as_str() {
        "push" => Ok(true),
        "ask" => Ok(false),
        _ => tree.at("discovery").error("unknown discovery mode"),
    }
}

fn limits(policy: &JsonTree<'_>, max_retry_after: Nanos) -> Result<Limits, ValueError> {
    Ok(Limits {
        max_attempts: policy.at("send-cap").number_or(1.0)? as u32,
        hedging: policy.at("second-copies").bool_or_false()?,
        cancellation: policy.at("cancel").bool_or_false()?,
        probes: policy.at("probes").bool_or_false()?,
        peer_messages: policy.at("may-tell").bool_or_false()?,
        max_retry_after,
    })
}

fn slow_start(tree: &JsonTree<'_>) -> Result<SlowStartSettings, ValueError> {
    Ok(SlowStartSettings {
        initial_capacity: tree.at("cold-from").number_or(1.0)?,
        slow_start_window: tree.at("ramp-time-ns").nanos_or(0)?,
        overload_factor: tree.at("overload-factor").number_or(1.0)?,
        overload_window: tree.at("fall-ns").nanos_or(0)?,
        max_list_age: tree.at("ask-within-ns").nanos_or(10_000_000_000)?,
    })
}

fn units_meaning(tree: &JsonTree<'_>) -> Result<UnitsMeaning, ValueError> {
    match tree.at("weight-source").string_or("silent")?.as_str() {
        "nominal" | "rough" => Ok(UnitsMeaning::Size),
        "live" => Ok(UnitsMeaning::Live),
        "silent" => Ok(UnitsMeaning::None),
        _ => tree.at("weight-source").error("unknown weight source"),
    }
}
