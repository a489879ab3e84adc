//! The difference between two texts as copies from the old one and insertions.
//!
//! The texts are compared chunk by chunk, a chunk being the text between two braces. Unchanged items of a JSON list are
//! found wherever they moved; white space and the order of fields are preserved.

use std::collections::HashMap;
use std::ops::Range;

use musli::{Decode, Encode};
use snafu::{OptionExt, Snafu};

/// Bytes of the shortest chunk that is searched for in the old text. Shorter ones are copied only where they continue a
/// longer copy: a step of its own would take about as many bytes as the chunk.
const MIN_SEARCHED_CHUNK: usize = 32;

/// The most encoded bytes of a step beside the text that it inserts.
const MAX_STEP_OVERHEAD: usize = 24;

/// Steps that build a new text from an old one, byte for byte.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct Delta {
    steps: Vec<Step>,
}

/// The next bytes of the new text.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
enum Step {
    /// A range of bytes of the old text.
    Copy { start: usize, end: usize },
    /// New text.
    Insert(#[musli(bytes)] Vec<u8>),
}

/// A delta copies a range that is not in the old text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("bytes {start} to {end} are not in the base of {length} bytes"))]
pub struct DeltaError {
    start: usize,
    end: usize,
    length: usize,
}

impl Delta {
    /// The steps from `old` to `new`.
    #[must_use]
    pub fn between(old: &[u8], new: &[u8]) -> Delta {
        let mut builder = DeltaBuilder { old, offsets: offsets_of_chunks(old), delta: Delta::default() };
        for chunk in chunks(new) {
            builder.add(&new[chunk]);
        }
        builder.delta
    }

    /// The new text.
    ///
    /// # Errors
    ///
    /// [`DeltaError`] if `old` is shorter than the text from which the delta was made.
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

    /// An upper bound of the encoded length in bytes.
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
    offsets: HashMap<&'a [u8], usize>,
    delta: Delta,
}

impl DeltaBuilder<'_> {
    fn add(&mut self, chunk: &[u8]) {
        if self.continue_copy(chunk) {
            return;
        }
        let steps = &mut self.delta.steps;
        match (self.offsets.get(chunk), steps.last_mut()) {
            (Some(start), _) => steps.push(Step::Copy { start: *start, end: start + chunk.len() }),
            (None, Some(Step::Insert(text))) => text.extend_from_slice(chunk),
            (None, _) => steps.push(Step::Insert(chunk.to_vec())),
        }
    }

    /// Extends the last copy by the chunk if it follows there in the old text; returns whether it did.
    fn continue_copy(&mut self, chunk: &[u8]) -> bool {
        let Some(Step::Copy { end, .. }) = self.delta.steps.last_mut() else { return false };
        let continues = self.old[*end..].starts_with(chunk);
        if continues {
            *end += chunk.len();
        }
        continues
    }
}

/// The first offset of each chunk that is long enough for the search.
fn offsets_of_chunks(text: &[u8]) -> HashMap<&[u8], usize> {
    let mut offsets = HashMap::new();
    for chunk in chunks(text).filter(|chunk| chunk.len() >= MIN_SEARCHED_CHUNK) {
        offsets.entry(&text[chunk.clone()]).or_insert(chunk.start);
    }
    offsets
}

/// The ranges of the chunks: one begins at each opening brace, and one after each closing brace.
fn chunks(text: &[u8]) -> impl Iterator<Item = Range<usize>> {
    let mut start = 0;
    std::iter::from_fn(move || {
        let rest = text.get(start..).filter(|rest| !rest.is_empty())?;
        let chunk = start..start + chunk_length(rest);
        start = chunk.end;
        Some(chunk)
    })
}

fn chunk_length(rest: &[u8]) -> usize {
    let brace = rest.iter().enumerate().skip(1).find(|(_, byte)| matches!(byte, b'{' | b'}'));
    match brace {
        Some((position, b'{')) => position,
        Some((position, _)) => position + 1,
        None => rest.len(),
    }
}
