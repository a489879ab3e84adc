//! Splits a stream of server-sent events, so that another replica can resume it after the last complete event.

use tulipridge_http1::codec::block_ends;

/// Maximum length of a buffered event. From a longer event on, the stream is forwarded as it arrives and can't be
/// resumed.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Splits a stream into complete events, and records the id of the last event that has an id.
#[derive(Debug, Default)]
pub struct EventTracker {
    /// Bytes of an incomplete event.
    partial: Vec<u8>,
    last_id: String,
    /// Whether an event was longer than [`MAX_EVENT_BYTES`].
    has_overflowed: bool,
}

impl EventTracker {
    /// Appends the bytes of complete events to `out` and buffers the rest. `bytes` is empty afterwards.
    pub fn push(&mut self, bytes: &mut Vec<u8>, out: &mut Vec<u8>) {
        if self.has_overflowed {
            out.append(bytes);
            return;
        }
        if self.partial.is_empty() {
            std::mem::swap(&mut self.partial, bytes);
        } else {
            self.partial.append(bytes);
        }
        let end = block_ends(&self.partial, 0).next_back().unwrap_or(0);
        if let Some(id) = last_event_id(&self.partial[..end]) {
            self.last_id.clear();
            self.last_id.push_str(id);
        }
        if end == self.partial.len() {
            out.append(&mut self.partial);
        } else {
            out.extend(self.partial.drain(..end));
        }
        if self.partial.len() > MAX_EVENT_BYTES {
            self.has_overflowed = true;
            out.append(&mut self.partial);
        }
    }

    /// Appends the buffered bytes to `out` at the end of a complete stream. Returns their number.
    pub fn finish(&mut self, out: &mut Vec<u8>) -> usize {
        let count = self.partial.len();
        out.append(&mut self.partial);
        count
    }

    /// The id of the last complete event that has an id.
    #[must_use]
    pub fn last_id(&self) -> Option<&str> {
        Some(self.last_id.as_str()).filter(|id| !id.is_empty())
    }

    /// Discards the buffered part of an event, which another replica sends again. Returns false if the stream can't be
    /// resumed.
    pub fn discard_partial(&mut self) -> bool {
        self.partial.clear();
        !self.has_overflowed && !self.last_id.is_empty()
    }
}

/// The id of the last of these events that has an id.
fn last_event_id(events: &[u8]) -> Option<&str> {
    let mut lines = events.split(|byte| *byte == b'\n').rev();
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(id.trim_ascii()).ok()
}
