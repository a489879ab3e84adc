//! The difference between two texts: what is copied from the old one, and what is new.
//!
//! The texts are compared piece by piece, a piece being what stands between two braces. Items of a JSON list
//! that stayed as they were are found wherever they moved; white space and the order of fields are kept.

use std::collections::HashMap;
use std::ops::Range;

use musli::{Decode, Encode};
use snafu::{OptionExt, Snafu};

/// The shortest piece that is searched for in the old text. Shorter ones are copied only where they continue
/// a longer copy: a step of its own would take about as many bytes as the piece.
const MIN_SEARCHED_PIECE: usize = 32;

/// The most bytes that a step takes beside the text it inserts.
const MAX_STEP_OVERHEAD: usize = 24;

/// Leads from an old text to a new one, byte for byte.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct Delta {
    steps: Vec<Step>,
}

/// What follows next in the new text.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
enum Step {
    /// A part of the old text.
    Copy { start: usize, end: usize },
    /// Text that is new.
    Insert(#[musli(bytes)] Vec<u8>),
}

/// A delta copies what the old text doesn't have.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("bytes {start} to {end} are not in the base of {length} bytes"))]
pub struct DeltaError {
    start: usize,
    end: usize,
    length: usize,
}

impl Delta {
    /// What leads from `old` to `new`.
    #[must_use]
    pub fn between(old: &[u8], new: &[u8]) -> Delta {
        let mut builder = DeltaBuilder { old, places: places_of_pieces(old), delta: Delta::default() };
        for piece in pieces(new) {
            builder.add(&new[piece]);
        }
        builder.delta
    }

    /// The new text.
    pub fn apply(&self, old: &[u8]) -> Result<Vec<u8>, DeltaError> {
        let mut new = Vec::new();
        for step in &self.steps {
            match step {
                Step::Insert(text) => new.extend_from_slice(text),
                Step::Copy { start, end } => new.extend_from_slice(copied(old, *start..*end)?),
            }
        }
        Ok(new)
    }

    /// The most bytes that the delta takes when it is encoded.
    pub fn max_encoded_length(&self) -> usize {
        self.steps.iter().map(Step::max_encoded_length).sum()
    }
}

impl Step {
    fn max_encoded_length(&self) -> usize {
        match self {
            Step::Copy { .. } => MAX_STEP_OVERHEAD,
            Step::Insert(text) => MAX_STEP_OVERHEAD + text.len(),
        }
    }
}

fn copied(old: &[u8], range: Range<usize>) -> Result<&[u8], DeltaError> {
    let Range { start, end } = range;
    old.get(start..end).context(DeltaSnafu { start, end, length: old.len() })
}

struct DeltaBuilder<'a> {
    old: &'a [u8],
    places: HashMap<&'a [u8], usize>,
    delta: Delta,
}

impl DeltaBuilder<'_> {
    fn add(&mut self, piece: &[u8]) {
        if self.continue_copy(piece) {
            return;
        }
        let steps = &mut self.delta.steps;
        match (self.places.get(piece), steps.last_mut()) {
            (Some(start), _) => steps.push(Step::Copy { start: *start, end: start + piece.len() }),
            (None, Some(Step::Insert(text))) => text.extend_from_slice(piece),
            (None, _) => steps.push(Step::Insert(piece.to_vec())),
        }
    }

    /// Whether the piece follows in the old text what was copied last; it is then copied with it.
    fn continue_copy(&mut self, piece: &[u8]) -> bool {
        let Some(Step::Copy { end, .. }) = self.delta.steps.last_mut() else { return false };
        let continues = self.old[*end..].starts_with(piece);
        if continues {
            *end += piece.len();
        }
        continues
    }
}

/// Where each piece that is worth a search is in the text for the first time.
fn places_of_pieces(text: &[u8]) -> HashMap<&[u8], usize> {
    let mut places = HashMap::new();
    for piece in pieces(text).filter(|piece| piece.len() >= MIN_SEARCHED_PIECE) {
        places.entry(&text[piece.clone()]).or_insert(piece.start);
    }
    places
}

/// The text in pieces: one begins at each opening brace, and one after each closing brace.
fn pieces(text: &[u8]) -> impl Iterator<Item = Range<usize>> {
    let mut start = 0;
    std::iter::from_fn(move || {
        let rest = text.get(start..).filter(|rest| !rest.is_empty())?;
        let piece = start..start + piece_length(rest);
        start = piece.end;
        Some(piece)
    })
}

fn piece_length(rest: &[u8]) -> usize {
    let brace = rest.iter().enumerate().skip(1).find(|(_, byte)| matches!(byte, b'{' | b'}'));
    match brace {
        Some((place, b'{')) => place,
        Some((place, _)) => place + 1,
        None => rest.len(),
    }
}
