//! Orders the fragments of interleaved blocks into blocks that follow one another.
//!
//! Replicas of the platform may interleave the arguments of several tool calls. Clients of the messages API expect blocks
//! one after the other, and some take a stop for that of the block that began last. So one block is open, and its
//! fragments are written at once; fragments of others wait until the open one is complete: a text as soon as anything
//! else arrives, a call once its JSON has closed. Calls that arrive one by one, as nearly always, never wait.

use std::collections::{BTreeSet, VecDeque};

use super::event::event;
use super::text_fragment::{FragmentJoiner, TextFragment};
use crate::front::object::Nesting;

/// The content that a block carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Lane {
    /// Text.
    Text,
    /// A tool call, by its number.
    Call(u32),
}

/// A block.
struct Block {
    lane: Lane,
    id: String,
    name: String,
    joiner: FragmentJoiner,
    nesting: Nesting,
    /// Its text while it waits.
    pending_text: String,
}

/// The blocks of one message.
pub(super) struct Blocks {
    open_block: Option<Block>,
    next: u64,
    waiting: VecDeque<Block>,
    waiting_bytes: usize,
    max_waiting_bytes: usize,
    is_full: bool,
    closed_calls: BTreeSet<u32>,
}

impl Blocks {
    /// Starts without blocks; at most `max_waiting_bytes` may wait.
    pub(super) fn new(max_waiting_bytes: usize) -> Blocks {
        Blocks {
            open_block: None,
            next: 0,
            waiting: VecDeque::new(),
            waiting_bytes: 0,
            max_waiting_bytes,
            is_full: false,
            closed_calls: BTreeSet::new(),
        }
    }

    /// Number of waiting bytes.
    pub(super) fn waiting(&self) -> usize {
        self.waiting_bytes
    }

    /// Whether more had to wait than may; what follows is lost.
    pub(super) fn is_full(&self) -> bool {
        self.is_full
    }

    /// Adds text.
    pub(super) fn text(&mut self, fragment: TextFragment, out: &mut Vec<u8>) {
        let last = self.waiting.back().map(|b| b.lane);
        let goes_on = match last {
            Some(lane) => lane == Lane::Text,
            None => self.open_block.as_ref().is_some_and(|b| b.lane == Lane::Text),
        };
        if !goes_on {
            self.begin(Lane::Text, String::new(), String::new(), out);
        }
        self.add(Lane::Text, fragment, out);
    }

    /// Begins a tool call.
    pub(super) fn call(&mut self, number: u32, id: String, name: String, out: &mut Vec<u8>) {
        self.begin(Lane::Call(number), id, name, out);
    }

    fn begin(&mut self, lane: Lane, id: String, name: String, out: &mut Vec<u8>) {
        let block = Block {
            lane,
            id,
            name,
            joiner: FragmentJoiner::default(),
            nesting: Nesting::default(),
            pending_text: String::new(),
        };
        self.count(block.id.len() + block.name.len());
        self.waiting.push_back(block);
        self.advance(out);
    }

    /// Adds a fragment to a block.
    pub(super) fn add(&mut self, lane: Lane, fragment: TextFragment, out: &mut Vec<u8>) {
        if let Some(open_block) = self.open_block.as_mut().filter(|b| b.lane == lane) {
            let text = open_block.joiner.join(fragment);
            open_block.nesting.add(&text);
            delta(out, self.next - 1, lane, &text);
            return self.advance(out);
        }
        // The last one of its lane: an earlier text is over once something else has arrived.
        if let Some(block) = self.waiting.iter_mut().rev().find(|b| b.lane == lane) {
            let text = block.joiner.join(fragment);
            block.nesting.add(&text);
            block.pending_text.push_str(&text);
            self.count(text.len());
            return;
        }
        let late = matches!(lane, Lane::Call(number) if self.closed_calls.contains(&number));
        if late && fragment.0.iter().any(|b| !b.is_ascii_whitespace()) {
            // More JSON after its end can't be represented.
            self.is_full = true;
        }
    }

    fn count(&mut self, bytes: usize) {
        self.waiting_bytes += bytes;
        self.is_full |= self.waiting_bytes > self.max_waiting_bytes;
    }

    /// Opens waiting blocks as long as the open one is complete.
    fn advance(&mut self, out: &mut Vec<u8>) {
        while !self.waiting.is_empty() {
            let done =
                self.open_block.as_ref().is_none_or(|b| b.lane == Lane::Text || b.nesting.is_complete());
            if !done {
                return;
            }
            self.stop(out);
            self.open(out);
        }
    }

    fn open(&mut self, out: &mut Vec<u8>) {
        let Some(mut block) = self.waiting.pop_front() else { return };
        let index = self.next;
        self.next += 1;
        event(out, "content_block_start", |data| {
            data.set("index", &index);
            let mut begun = data.object("content_block");
            match block.lane {
                Lane::Text => drop(begun.set("type", "text").set("text", "")),
                Lane::Call(_) => {
                    begun.set("type", "tool_use").set("id", &block.id).set("name", &block.name);
                    drop(begun.object("input"));
                }
            }
        });
        let pending_text = std::mem::take(&mut block.pending_text);
        self.waiting_bytes -= block.id.len() + block.name.len() + pending_text.len();
        if !pending_text.is_empty() {
            delta(out, index, block.lane, &pending_text);
        }
        self.open_block = Some(block);
    }

    fn stop(&mut self, out: &mut Vec<u8>) {
        let Some(mut block) = self.open_block.take() else { return };
        let mut rest = String::new();
        block.joiner.end(&mut rest);
        delta(out, self.next - 1, block.lane, &rest);
        event(out, "content_block_stop", |data| {
            data.set("index", &(self.next - 1));
        });
        if let Lane::Call(number) = block.lane {
            self.closed_calls.insert(number);
        }
    }

    /// Writes all blocks to their ends.
    pub(super) fn end(&mut self, out: &mut Vec<u8>) {
        self.stop(out);
        while !self.waiting.is_empty() {
            self.open(out);
            self.stop(out);
        }
    }
}

fn delta(out: &mut Vec<u8>, index: u64, lane: Lane, text: &str) {
    if text.is_empty() {
        return;
    }
    event(out, "content_block_delta", |data| {
        data.set("index", &index);
        let mut delta = data.object("delta");
        match lane {
            Lane::Text => delta.set("type", "text_delta").set("text", text),
            Lane::Call(_) => delta.set("type", "input_json_delta").set("partial_json", text),
        };
    });
}
