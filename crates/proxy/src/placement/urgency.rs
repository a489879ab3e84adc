//! The priority of a request at its replica.
//!
//! A replica admits requests in order of priority, and prefills one prompt at a time. By rank alone, a short
//! prompt would wait behind every long prompt of a higher rank. So a request with clearly more tokens to prefill
//! than the mean is lowered by one rank or more: short prefills go ahead of those that delay others, and
//! among requests of similar length the rank decides.

use tulipridge_configuration::number::Rank;

/// The lowest priority that replicas support.
const LAST_PRIORITY: u8 = 9;
/// Multiples of the mean prefill length above which a request is lowered by one rank, two ranks, and three ranks.
const STEPS: [f64; 3] = [1.25, 3.0, 6.0];
/// Weight of the newest request in the mean.
const MEAN_GAIN: f64 = 0.02;

/// Tracks the mean prefill length of the requests of this proxy, and derives the priority of each request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Urgency {
    mean_tokens: Option<f64>,
}

impl Urgency {
    /// The priority, 0 first, of a request with this rank and `unread_tokens` to prefill.
    pub fn priority(&mut self, rank: Rank, unread_tokens: u32) -> u8 {
        let unread = f64::from(unread_tokens);
        let mean = self.mean_tokens.unwrap_or(unread);
        self.mean_tokens = Some(mean + MEAN_GAIN * (unread - mean));
        let steps = STEPS.iter().filter(|step| unread > mean * **step).count() as u8;
        rank.0.saturating_add(steps).min(LAST_PRIORITY)
    }
}
