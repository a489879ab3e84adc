//! Finds the ends of events in a stream of server-sent events that arrives in fragments.
//!
//! The grammar is that of `text/event-stream` (WHATWG HTML, "Server-sent events"): a line ends with LF, CR or CRLF, a
//! line that begins with a colon is a comment, and a blank line ends an event.

const LF: u8 = b'\n';
const CR: u8 = b'\r';
/// The first byte of a comment.
const COLON: u8 = b':';

/// What the last byte of the stream was.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Position {
    /// The end of an event, or nothing has been received yet.
    #[default]
    BetweenEvents,
    /// A CR that ended an event. If a LF follows, it belongs to the same line end.
    AfterEventCr,
    /// The LF that ended a line within an event.
    LineStart,
    /// A CR that ended a line within an event. If a LF follows, it belongs to the same line end.
    AfterLineCr,
    /// The CR of a blank line after a line that ended with CRLF, so that a LF is to follow.
    AwaitingLf,
    /// A byte within a line.
    Line,
}

/// Where an event ends, relative to the byte that shows it.
enum EventEnd {
    BeforeByte,
    AfterByte,
}

/// Follows a stream of server-sent events, and knows whether it stands within an event.
#[derive(Debug, Default)]
pub struct EventScanner {
    position: Position,
    /// Whether the last line ended with CRLF.
    is_crlf: bool,
    /// Whether the current event has a field, complete or not. Comments alone are no event.
    has_field: bool,
    /// Whether an event with a field has ended.
    has_complete_event: bool,
}

impl EventScanner {
    /// Scans the next fragment of the stream. Returns the offset in `bytes` of the end of the last event that ends in
    /// it, if any does. The LF of a CRLF may end an event that an earlier fragment ended with CR.
    pub fn scan(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut last_end = None;
        let mut offset = 0;
        while offset < bytes.len() {
            if self.position == Position::Line {
                let rest = &bytes[offset..];
                let Some(length) = rest.iter().position(|byte| matches!(*byte, LF | CR)) else { break };
                offset += length;
            }
            match self.advance(bytes[offset]) {
                Some(EventEnd::BeforeByte) => last_end = Some(offset),
                Some(EventEnd::AfterByte) => last_end = Some(offset + 1),
                None => {}
            }
            offset += 1;
        }
        last_end
    }

    /// Whether the stream would be incomplete if it ended here: within a line, or after a field of an event that no
    /// blank line has ended.
    #[must_use]
    pub fn is_within_event(&self) -> bool {
        match self.position {
            Position::BetweenEvents | Position::AfterEventCr => false,
            Position::LineStart | Position::AfterLineCr | Position::AwaitingLf => self.has_field,
            Position::Line => true,
        }
    }

    /// Whether an event was received in part: a field of it, complete or not, and no blank line after it.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        self.has_field
    }

    /// Whether an event was received to its end. Comments alone are no event.
    #[must_use]
    pub fn has_complete_event(&self) -> bool {
        self.has_complete_event
    }

    fn advance(&mut self, byte: u8) -> Option<EventEnd> {
        match (self.position, byte) {
            (Position::Line, LF | CR) => self.end_line(byte),
            (Position::AfterLineCr, LF) => {
                self.position = Position::LineStart;
                self.is_crlf = true;
                None
            }
            (_, LF) => self.end_event(Position::BetweenEvents),
            (Position::LineStart, CR) if self.is_crlf => {
                self.position = Position::AwaitingLf;
                None
            }
            (Position::AwaitingLf, _) => {
                self.end_event(Position::AfterEventCr);
                self.advance(byte).or(Some(EventEnd::BeforeByte))
            }
            (_, CR) => self.end_event(Position::AfterEventCr),
            (Position::Line, _) => None,
            (_, _) => {
                self.position = Position::Line;
                self.has_field |= byte != COLON;
                None
            }
        }
    }

    fn end_line(&mut self, line_end: u8) -> Option<EventEnd> {
        self.position = if line_end == CR { Position::AfterLineCr } else { Position::LineStart };
        self.is_crlf = false;
        None
    }

    fn end_event(&mut self, position: Position) -> Option<EventEnd> {
        let has_complete_event = self.has_complete_event || self.has_field;
        *self = EventScanner { position, has_complete_event, ..EventScanner::default() };
        Some(EventEnd::AfterByte)
    }
}
