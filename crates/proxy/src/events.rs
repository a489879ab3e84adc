//! Whole events of a stream, and the id of the last one, so that another replica can go on behind it.

use tulipridge_http1::codec::block_ends;

/// A stream without the end of an event for so many bytes is passed on as it comes and can't be resumed.
const LONGEST_EVENT: usize = 256 * 1024;

/// Takes whole events out of a stream and notes the id of the last.
#[derive(Debug, Default)]
pub struct EventTracker {
    /// Bytes of an event whose end has not come.
    partial: Vec<u8>,
    last_id: String,
    /// An event was too long to be held back.
    overrun: bool,
}

impl EventTracker {
    /// Moves the bytes of whole events to `out` and holds back the rest; `bytes` is empty afterwards.
    pub fn pass(&mut self, bytes: &mut Vec<u8>, out: &mut Vec<u8>) {
        if self.overrun {
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
        if self.partial.len() > LONGEST_EVENT {
            self.overrun = true;
            out.append(&mut self.partial);
        }
    }

    /// Moves what is left to `out`: the stream has ended whole.
    pub fn finish(&mut self, out: &mut Vec<u8>) {
        out.append(&mut self.partial);
    }

    /// The id of the last whole event that had one.
    #[must_use]
    pub fn last_id(&self) -> Option<&str> {
        Some(self.last_id.as_str()).filter(|id| !id.is_empty())
    }

    /// Drops the part of an event that was held back, as another replica sends it whole; false if none can go on.
    pub fn drop_partial(&mut self) -> bool {
        self.partial.clear();
        !self.overrun && !self.last_id.is_empty()
    }
}

/// The id of the last event that has one.
fn last_event_id(events: &[u8]) -> Option<&str> {
    let mut lines = events.split(|byte| *byte == b'\n').rev();
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(id.trim_ascii()).ok()
}
