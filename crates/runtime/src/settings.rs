//! The settings file of a process.
//!
//! Fields that are not known are ignored, and optional ones that are absent or null take their defaults.

mod revision_term;
mod time_limits;

use std::collections::BTreeMap;
use std::fmt;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};

use serde::{Deserialize, Deserializer};
use serde_norway::Value;
use snafu::{OptionExt, ResultExt, Snafu};

use crate::findings;
pub use revision_term::RevisionTerm;
pub use time_limits::TimeLimits;

/// The variable that holds the path of the settings file.
pub const PATH_VARIABLE: &str = "TULIPRIDGE_SETTINGS";

/// One thing that is wrong with a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The field, as a path from the document's root.
    pub place: String,
    /// What is wrong with it.
    pub what: String,
}

impl Finding {
    pub(crate) fn new(place: impl Into<String>, what: impl Into<String>) -> Self {
        Finding { place: place.into(), what: what.into() }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.what)
    }
}

/// Why settings can't be used.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The variable that names the file is not set.
    #[snafu(display("the variable {PATH_VARIABLE} does not name a settings file"))]
    NoPath,
    /// The file can't be read.
    #[snafu(display("{}: {source}", path.display()))]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: std::io::Error,
    },
    /// The text is not YAML.
    #[snafu(display("not YAML: {source}"))]
    NotYaml {
        /// What the reader says, with line and column.
        source: serde_norway::Error,
    },
    /// Fields are missing, of the wrong type or out of range.
    #[snafu(display("{}", joined(findings)))]
    Invalid {
        /// All that was found.
        findings: Vec<Finding>,
    },
}

fn joined(findings: &[Finding]) -> String {
    findings.iter().map(Finding::to_string).collect::<Vec<_>>().join("; ")
}

/// The settings of a process.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Settings {
    /// Name of the machine.
    pub node_name: String,
    /// Name of the deployment's job.
    pub job: String,
    /// Class of the machine.
    pub machine_type: String,
    /// What the machine serves to callers from outside.
    pub handles_role: Vec<Role>,
    /// Address of the machine.
    pub ip_address: Ipv4Addr,
    /// Zone of the machine.
    pub area: String,
    /// Region of the machine.
    pub site: String,
    /// Region of each zone.
    pub zones: BTreeMap<String, String>,
    /// Addresses for what the role serves.
    pub listen_on: ListenOn,
    /// First and last port that are free for traffic inside the system.
    pub spare_ports: (u16, u16),
    /// Control ports of some machines of the control plane.
    pub seed_nodes: Vec<SocketAddr>,
    /// Whether this is the first start of the whole system, with empty disks.
    pub first_boot: bool,
    /// Whether the loss of this machine counts against `withstand`.
    pub loss_counts: bool,
    /// What the process may use.
    pub caps: Caps,
    /// Folder on the machine's disk; none on machines without one.
    pub data_folder: Option<PathBuf>,
    /// How replicas are found.
    pub finder: String,
    /// How clients reach the system.
    pub way_in: String,
    /// Time between heartbeats of replicas.
    pub heartbeat_ms: u64,
    /// Parts of the rules that are in force.
    pub promises: Vec<String>,
    /// Losses under which every rule is kept.
    pub withstand: Withstand,
    /// Figures of the rules.
    pub time_limits: TimeLimits,
    /// The platform's list of replicas.
    pub cloud_api: Option<CloudApi>,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            node_name: String::new(),
            job: String::new(),
            machine_type: String::new(),
            handles_role: Vec::new(),
            ip_address: Ipv4Addr::UNSPECIFIED,
            area: String::new(),
            site: String::new(),
            zones: BTreeMap::new(),
            listen_on: ListenOn::default(),
            spare_ports: (0, 0),
            seed_nodes: Vec::new(),
            first_boot: false,
            loss_counts: false,
            caps: Caps::default(),
            data_folder: None,
            finder: String::new(),
            way_in: String::new(),
            heartbeat_ms: 1200,
            promises: Vec::new(),
            withstand: Withstand::default(),
            time_limits: TimeLimits::default(),
            cloud_api: None,
        }
    }
}

/// What a machine serves to callers from outside.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum Role {
    /// Clients.
    Edge,
    /// Replicas and the operator.
    Control,
    /// One that this version does not know.
    #[serde(other)]
    Unknown,
}

/// Addresses for what the role serves.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct ListenOn {
    /// For clients.
    pub front_door: Option<SocketAddr>,
    /// For checks of readiness.
    pub ready_check: Option<SocketAddr>,
    /// For replicas and the operator.
    pub control_port: Option<SocketAddr>,
}

/// What the process may use.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Caps {
    /// Part of a core.
    pub cpu_part: f64,
    /// How many times as fast the core is.
    pub core_count: f64,
    /// Memory, in MB.
    #[serde(deserialize_with = "whole")]
    pub ram_mb: u64,
    /// Descriptors.
    #[serde(deserialize_with = "whole")]
    pub file_handles: u64,
    /// Bandwidth of the machine's link.
    pub bandwidth_mbps: f64,
    /// Room on the disk, in MB; 0 on machines without one.
    #[serde(deserialize_with = "whole")]
    pub storage_mb: u64,
}

impl Default for Caps {
    fn default() -> Self {
        Caps {
            cpu_part: 0.25,
            core_count: 1.0,
            ram_mb: 128,
            file_handles: 1024,
            bandwidth_mbps: 1000.0,
            storage_mb: 0,
        }
    }
}

/// Losses at the same time under which every rule is kept.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Withstand {
    /// Machines whose loss counts.
    pub machine_losses: u32,
    /// Zones.
    pub zones: u32,
    /// Regions.
    pub region_losses: u32,
}

impl Default for Withstand {
    fn default() -> Self {
        Withstand { machine_losses: 1, zones: 0, region_losses: 0 }
    }
}

/// The platform's list of replicas.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct CloudApi {
    /// Where it listens.
    pub address: SocketAddr,
    /// Calls a second that it accepts from the whole system.
    #[serde(default = "default_list_rate")]
    pub rate_per_s: f64,
    /// What else the platform does for the system.
    #[serde(default, deserialize_with = "texts")]
    pub tasks: Vec<String>,
    /// How far the list lags behind.
    #[serde(default, deserialize_with = "whole")]
    pub delay_ms: u64,
}

/// Calls a second to the platform's list where the settings say nothing.
fn default_list_rate() -> f64 {
    1.0
}

/// A whole number that may be written as a fraction; it is rounded.
fn whole<'de, D: Deserializer<'de>>(from: D) -> Result<u64, D::Error> {
    let number = f64::deserialize(from)?;
    if !number.is_finite() || number < 0.0 {
        return Err(serde::de::Error::custom(format!("{number} must be a number that is not below 0")));
    }
    Ok(number.round() as u64)
}

/// The texts of a list; entries of other types are ignored.
fn texts<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<String>, D::Error> {
    let values = Vec::<Value>::deserialize(from)?;
    Ok(values.iter().filter_map(Value::as_str).map(str::to_owned).collect())
}

impl Settings {
    /// Reads the file that the environment names.
    pub fn load() -> Result<Self, SettingsError> {
        let path = std::env::var_os(PATH_VARIABLE).context(NoPathSnafu)?;
        Self::read(Path::new(&path))
    }

    /// Reads a file.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).context(UnreadableSnafu { path })?;
        Self::parse(&text)
    }

    /// Reads settings from their text, and checks them.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let document: Value = serde_norway::from_str(text).context(NotYamlSnafu)?;
        let document = findings::without_nulls(document);
        let Value::Mapping(fields) = &document else {
            let findings = vec![Finding::new("the document", "must be a mapping of fields")];
            return InvalidSnafu { findings }.fail();
        };
        let mut found = findings::missing(fields);
        let settings = match serde_path_to_error::deserialize::<_, Settings>(document) {
            Ok(settings) => settings,
            Err(error) => {
                found.push(Finding::new(error.path().to_string(), error.inner().to_string()));
                return InvalidSnafu { findings: found }.fail();
            }
        };
        let more = findings::out_of_range(&settings);
        let missing: Vec<String> = found.iter().map(|finding| finding.place.clone()).collect();
        found.extend(more.into_iter().filter(|finding| !missing.contains(&finding.place)));
        if found.is_empty() { Ok(settings) } else { InvalidSnafu { findings: found }.fail() }
    }

    /// Whether a part of the rules is in force.
    #[must_use]
    pub fn promised(&self, part: &str) -> bool {
        self.promises.iter().any(|promise| promise == part)
    }

    /// Where the control plane's member on machine `ip` takes messages of other members (TCP).
    #[must_use]
    pub fn control_socket(&self, ip: Ipv4Addr) -> SocketAddr {
        self.spare_socket(ip, 0)
    }

    /// Where the control plane's member on machine `ip` serves the feed (TCP).
    #[must_use]
    pub fn feed_socket(&self, ip: Ipv4Addr) -> SocketAddr {
        self.spare_socket(ip, 1)
    }

    /// Where the process on machine `ip` takes datagrams of the partial views (UDP).
    #[must_use]
    pub fn peer_sampling_socket(&self, ip: Ipv4Addr) -> SocketAddr {
        self.spare_socket(ip, 2)
    }

    /// Where the agent serves the feed to the proxy beside it (TCP).
    #[must_use]
    pub fn loopback_feed(&self) -> SocketAddr {
        self.spare_socket(Ipv4Addr::LOCALHOST, 3)
    }

    /// Addresses of the seeds' machines, in the order of the settings.
    #[must_use]
    pub fn seed_ips(&self) -> Vec<Ipv4Addr> {
        let ipv4 = |seed: &SocketAddr| match seed.ip() {
            IpAddr::V4(ip) => Some(ip),
            IpAddr::V6(_) => None,
        };
        self.seed_nodes.iter().filter_map(ipv4).collect()
    }

    fn spare_socket(&self, ip: Ipv4Addr, offset: u16) -> SocketAddr {
        SocketAddrV4::new(ip, self.spare_ports.0 + offset).into()
    }
}
