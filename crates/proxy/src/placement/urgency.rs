//! The priority of a request at its replica.
//!
//! A replica admits requests in order of priority, and prefills one prompt at a time. If the rank alone determined the
//! priority, a short prompt would wait behind every long prompt of a higher rank. Therefore the priority of a request
//! with considerably more tokens to prefill than the mean is lowered by 1 to 3 ranks: short prefills precede long ones
//! that would delay others, and among requests of similar length the rank decides.

use tulipridge_configuration::number::Priority;

/// The lowest priority that replicas support.
const LAST_PRIORITY: u8 = 9;
/// Multiples of the mean prefill length above which the priority is lowered by 1, 2 and 3 ranks.
const STEPS: [f64; 3] = [1.25, 3.0, 6.0];
/// Weight of the newest request in the mean.
const MEAN_GAIN: f64 = 0.02;

/// Tracks the mean prefill length of the requests of this proxy, and derives the priority of each request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Urgency {
    mean_tokens: Option<f64>,
}

impl Urgency {
    /// The priority, 0 first, of a request with this rank and `unread_tokens` to prefill. Adds the request to the mean.
    pub fn priority(&mut self, rank: Priority, unread_tokens: u32) -> u8 {
        let unread = f64::from(unread_tokens);
        let mean = self.mean_tokens.unwrap_or(unread);
        self.mean_tokens = Some(mean + MEAN_GAIN * (unread - mean));
        let steps = STEPS.iter().filter(|step| unread > mean * **step).count() as u8;
        rank.0.saturating_add(steps).min(LAST_PRIORITY)
    }
}
