//! Tracks the events of a stream that is forwarded, so that a stream that breaks off is noticed, and can be resumed by
//! another replica after the last complete event.

use crate::downstream::event_scanner::EventScanner;

/// Maximum length of a buffered event. From a longer event on, the stream is forwarded as it arrives and can't be
/// resumed.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Tracks the events of one stream.
#[derive(Debug, Default)]
pub struct EventTracker {
    scanner: EventScanner,
    /// None if the stream can't be resumed. Its bytes are then forwarded as they arrive.
    resumption: Option<Resumption>,
}

/// What another replica needs to resume a stream.
#[derive(Debug, Default)]
struct Resumption {
    /// Bytes of an incomplete event, which are not forwarded yet.
    partial: Vec<u8>,
    /// The id of the last complete event that has an id.
    last_id: String,
    /// Whether a part of an event was discarded that the next replica is to send again.
    is_event_outstanding: bool,
}

impl EventTracker {
    /// Tracks a stream that another replica may resume: incomplete events are buffered.
    #[must_use]
    pub fn resumable() -> EventTracker {
        EventTracker { resumption: Some(Resumption::default()), ..EventTracker::default() }
    }

    /// Tracks a stream that may not be resumed: nothing is buffered.
    #[must_use]
    pub fn not_resumable() -> EventTracker {
        EventTracker::default()
    }

    /// Appends the bytes that may be forwarded to `out`: those of complete events if the stream may be resumed, and all
    /// of them otherwise. `bytes` is empty afterwards.
    pub fn push(&mut self, bytes: &mut Vec<u8>, out: &mut Vec<u8>) {
        let end = self.scanner.scan(bytes);
        let Some(resumption) = &mut self.resumption else {
            move_to_end(bytes, out);
            return;
        };
        resumption.push(bytes, end, out);
        if resumption.partial.len() > MAX_EVENT_BYTES {
            move_to_end(&mut resumption.partial, out);
            self.resumption = None;
        }
    }

    /// Appends the buffered bytes to `out` at the end of a complete stream.
    pub fn finish(&mut self, out: &mut Vec<u8>) {
        if let Some(resumption) = &mut self.resumption {
            move_to_end(&mut resumption.partial, out);
        }
    }

    /// Whether the stream would be incomplete if it ended here: within an event, or before an event that was discarded
    /// in part and that the replica which resumes the stream has not sent yet.
    #[must_use]
    pub fn is_incomplete(&self) -> bool {
        self.scanner.is_within_event() || self.is_event_outstanding()
    }

    fn is_event_outstanding(&self) -> bool {
        let was_discarded =
            self.resumption.as_ref().is_some_and(|resumption| resumption.is_event_outstanding);
        was_discarded && !self.scanner.has_complete_event()
    }

    /// Whether incomplete events are buffered, since the stream may be resumed.
    #[must_use]
    pub fn is_resumable(&self) -> bool {
        self.resumption.is_some()
    }

    /// The id of the last complete event that has an id.
    #[must_use]
    pub fn last_id(&self) -> Option<&str> {
        let resumption = self.resumption.as_ref()?;
        Some(resumption.last_id.as_str()).filter(|id| !id.is_empty())
    }

    /// Discards the buffered part of an event, which another replica sends again. Returns false if the stream can't be
    /// resumed.
    pub fn discard_partial(&mut self) -> bool {
        let is_event_outstanding = self.scanner.has_partial_event() || self.is_event_outstanding();
        let Some(resumption) = &mut self.resumption else { return false };
        resumption.is_event_outstanding = is_event_outstanding;
        resumption.partial.clear();
        self.scanner = EventScanner::default();
        !resumption.last_id.is_empty()
    }
}

impl Resumption {
    /// Appends complete events to `out`, and buffers the rest. `end` is the offset in `bytes` of the end of the last
    /// complete event.
    fn push(&mut self, bytes: &mut Vec<u8>, end: Option<usize>, out: &mut Vec<u8>) {
        let end = end.map(|end| self.partial.len() + end);
        move_to_end(bytes, &mut self.partial);
        let Some(end) = end else { return };
        if let Some(id) = last_event_id(&self.partial[..end]) {
            self.last_id.clear();
            self.last_id.push_str(id);
        }
        if end == self.partial.len() {
            move_to_end(&mut self.partial, out);
        } else {
            out.extend(self.partial.drain(..end));
        }
    }
}

/// Moves all bytes of `from` to the end of `to`, without a copy if `to` is empty.
fn move_to_end(from: &mut Vec<u8>, to: &mut Vec<u8>) {
    if to.is_empty() {
        std::mem::swap(from, to);
    } else {
        to.append(from);
    }
}

/// The id of the last of these events that has an id.
fn last_event_id(events: &[u8]) -> Option<&str> {
    let mut lines = events.rsplit(|byte| matches!(byte, b'\n' | b'\r'));
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(id.trim_ascii()).ok()
}
