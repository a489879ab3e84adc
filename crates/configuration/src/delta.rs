//! Byte-wise deltas between two texts: ranges copied from the old text, and inserted text.
//!
//! A text is split into chunks before each `{` and after each `}` that is not a chunk's first byte. Unchanged items of
//! a JSON list are found at any position. White space and the order of fields are preserved.

use std::collections::HashMap;
use std::ops::Range;

use musli::{Decode, Encode};
use snafu::{OptionExt, Snafu};

/// Minimum length in bytes of a chunk that is searched for in the old text. A shorter chunk is copied only if it
/// continues a longer copy: as a separate step it would take about as many bytes as its text.
const MIN_SEARCHED_CHUNK_BYTES: usize = 32;

/// Maximum encoded size of a step without its inserted text, in bytes.
const MAX_STEP_OVERHEAD_BYTES: usize = 24;

/// Steps that build a new text from an old one, byte for byte.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct Delta {
    steps: Vec<Step>,
}

/// An operation of a [`Delta`]; it appends bytes to the new text.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
enum Step {
    /// Appends a range of bytes of the old text.
    Copy { start: usize, end: usize },
    /// Appends text that is stored in the step.
    Insert(#[musli(bytes)] Vec<u8>),
}

/// A step copies a range that is not within the old text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the byte range {start}..{end} is not within the old text of {length} bytes"))]
pub struct DeltaError {
    start: usize,
    end: usize,
    length: usize,
}

impl Delta {
    /// Computes the steps that turn `old` into `new`.
    #[must_use]
    pub fn between(old: &[u8], new: &[u8]) -> Delta {
        let mut builder = DeltaBuilder { old, offsets: offsets_of_chunks(old), delta: Delta::default() };
        for chunk in chunks(new) {
            builder.add(&new[chunk]);
        }
        builder.delta
    }

    /// Builds the new text from `old`.
    ///
    /// # Errors
    ///
    /// [`DeltaError`] if a range that the delta copies is not within `old`.
    pub fn apply(&self, old: &[u8]) -> Result<Vec<u8>, DeltaError> {
        let mut new = Vec::new();
        for step in &self.steps {
            match step {
                Step::Insert(text) => new.extend_from_slice(text),
                Step::Copy { start, end } => new.extend_from_slice(copied_range(old, *start..*end)?),
            }
        }
        Ok(new)
    }

    /// An upper bound of the encoded length of the steps, in bytes, without the length prefix of their list.
    pub fn max_encoded_length(&self) -> usize {
        self.steps.iter().map(Step::max_encoded_length).sum()
    }
}

impl Step {
    fn max_encoded_length(&self) -> usize {
        match self {
            Step::Copy { .. } => MAX_STEP_OVERHEAD_BYTES,
            Step::Insert(text) => MAX_STEP_OVERHEAD_BYTES + text.len(),
        }
    }
}

fn copied_range(old: &[u8], range: Range<usize>) -> Result<&[u8], DeltaError> {
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

    /// Extends the last step by `chunk` if that step is a copy and `chunk` follows it in the old text. Returns whether
    /// it was extended.
    fn continue_copy(&mut self, chunk: &[u8]) -> bool {
        let Some(Step::Copy { end, .. }) = self.delta.steps.last_mut() else { return false };
        let continues = self.old[*end..].starts_with(chunk);
        if continues {
            *end += chunk.len();
        }
        continues
    }
}

/// Maps each chunk of at least [`MIN_SEARCHED_CHUNK_BYTES`] bytes to its first offset.
fn offsets_of_chunks(text: &[u8]) -> HashMap<&[u8], usize> {
    let mut offsets = HashMap::new();
    for chunk in chunks(text).filter(|chunk| chunk.len() >= MIN_SEARCHED_CHUNK_BYTES) {
        offsets.entry(&text[chunk.clone()]).or_insert(chunk.start);
    }
    offsets
}

/// Splits a text into chunks before each `{` and after each `}` that is not a chunk's first byte. Returns their byte
/// ranges.
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
