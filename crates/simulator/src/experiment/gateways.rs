//! The gateways of an experiment, and what they may do.

use std::time::Duration;

use serde::Deserialize;

/// The gateways.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Gateways {
    /// How many.
    pub count: u32,
    /// Zones that they and the real servers are spread over.
    pub zones: u16,
    /// Spread of the traffic among them: 0 is even, 1 gives a few several times the mean.
    #[serde(default)]
    pub skew: f64,
    /// They start one after the other within this time.
    #[serde(with = "humantime_serde")]
    pub start_within: Duration,
    /// Time until the layer before them notices that one is gone, or back.
    #[serde(with = "humantime_serde")]
    pub notice: Duration,
}

/// What the gateways may do.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Allow {
    /// Attempts for one try of a client.
    pub attempts: u32,
    /// Two of them may be out at once.
    pub second_copies: bool,
}

impl Default for Allow {
    fn default() -> Allow {
        Allow { attempts: 5, second_copies: true }
    }
}
