//! How urgent a replica is told that a request is.
//!
//! A replica lets the more urgent in ahead of others, and reads one prompt after the other. By rank alone, a short
//! question would wait behind every long prompt of a higher rank. So a request that has clearly more to be read than
//! others counts as one rank less urgent, or as several: what is read quickly goes ahead of what holds others up, and
//! among requests of a like length the rank decides.

use tulipridge_configuration::number::Rank;

/// The least urgent that a replica knows.
const LAST_PRIORITY: u8 = 9;
/// Multiples of the mean of tokens to be read from which on a request counts as one rank less urgent, two, and three.
const STEPS: [f64; 3] = [1.25, 3.0, 6.0];
/// Weight of the newest request in the mean.
const MEAN_GAIN: f64 = 0.02;

/// What this gateway's requests have to be read on average, and the urgency that follows for each.
#[derive(Clone, Copy, Debug, Default)]
pub struct Urgency {
    mean_tokens: Option<f64>,
}

impl Urgency {
    /// The urgency for a replica, 0 first, of a request of this rank with so many tokens to be read.
    pub fn priority(&mut self, rank: Rank, unread_tokens: u32) -> u8 {
        let unread = f64::from(unread_tokens);
        let mean = self.mean_tokens.unwrap_or(unread);
        self.mean_tokens = Some(mean + MEAN_GAIN * (unread - mean));
        let steps = STEPS.iter().filter(|step| unread > mean * **step).count() as u8;
        rank.0.saturating_add(steps).min(LAST_PRIORITY)
    }
}
