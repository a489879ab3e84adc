//! The network of an experiment, and the list service in it.

use std::time::Duration;

use serde::Deserialize;

/// The network.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Network {
    /// One way within a zone.
    #[serde(with = "humantime_serde")]
    pub same: Duration,
    /// One way between zones.
    #[serde(with = "humantime_serde")]
    pub cross: Duration,
    /// Work of a new connection.
    #[serde(with = "humantime_serde")]
    pub handshake: Duration,
    /// A connection at rest stays open for this time.
    #[serde(with = "humantime_serde")]
    pub idle: Duration,
    /// A connection not made after this time has failed.
    #[serde(with = "humantime_serde")]
    pub connect_timeout: Duration,
}

/// The list service: one call at a time.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListService {
    /// It sends the whole list and its changes unasked.
    #[serde(default)]
    pub push: bool,
    /// Each change is known after a time between these two, in place of `notice` and `add`.
    #[serde(default)]
    pub late: Option<Late>,
    /// Calls that it serves in a second.
    pub calls_per_s: f64,
    /// The gateways are told what it can serve.
    #[serde(default)]
    pub told: bool,
    /// It refuses at once, at no cost, a call that would wait longer, and asks to be left alone for so long.
    #[serde(with = "humantime_serde", default)]
    pub sheds_after: Option<Duration>,
    /// A caller that waited longer has failed; the service does the work all the same.
    #[serde(with = "humantime_serde")]
    pub timeout: Duration,
    /// Time until it knows that a real server has gone.
    #[serde(with = "humantime_serde")]
    pub notice: Duration,
    /// Time until it knows of a new one.
    #[serde(with = "humantime_serde")]
    pub add: Duration,
    /// Changes are sent together, once in this time.
    #[serde(with = "humantime_serde")]
    pub period: Duration,
    /// Watchers hear of a change within this time of one another.
    #[serde(with = "humantime_serde")]
    pub spread: Duration,
}

/// How late the list is.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Late {
    /// At the least.
    #[serde(with = "humantime_serde")]
    pub least: Duration,
    /// At the most.
    #[serde(with = "humantime_serde")]
    pub most: Duration,
}
