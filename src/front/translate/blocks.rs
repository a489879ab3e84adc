//! One block after another, out of pieces that come in any order.
//!
//! The platform's servers may tell the arguments of several tool calls in turns. Readers of the messages API are
//! used to blocks that follow one another, and some take a stop for that of the block that began last. So one block
//! is live, and its pieces pass on at once; pieces of others wait until the live one is whole. For a text that is as
//! soon as anything else comes, for a call once its JSON has closed: where calls come one by one, as nearly always,
//! nothing ever waits.

use std::collections::{BTreeSet, VecDeque};

use super::event::event;
use super::text_fragment::{FragmentJoiner, TextFragment};
use crate::front::object::Nesting;

/// What a block is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Lane {
    /// Text.
    Text,
    /// A tool's use, by its number.
    Call(u32),
}

/// What is known of a block.
struct Block {
    lane: Lane,
    id: String,
    name: String,
    joiner: FragmentJoiner,
    nesting: Nesting,
    /// Its pieces, while it waits.
    held: String,
}

/// The blocks of one message.
pub(super) struct Blocks {
    live: Option<Block>,
    next: u64,
    waiting: VecDeque<Block>,
    waiting_bytes: usize,
    most_waiting: usize,
    full: bool,
    over: BTreeSet<u32>,
}

impl Blocks {
    /// None yet; so many bytes may wait.
    pub(super) fn new(most_waiting: usize) -> Blocks {
        Blocks {
            live: None,
            next: 0,
            waiting: VecDeque::new(),
            waiting_bytes: 0,
            most_waiting,
            full: false,
            over: BTreeSet::new(),
        }
    }

    /// Bytes that wait.
    pub(super) fn waiting(&self) -> usize {
        self.waiting_bytes
    }

    /// More had to wait than may: what follows is lost.
    pub(super) fn is_full(&self) -> bool {
        self.full
    }

    /// More text.
    pub(super) fn text(&mut self, words: TextFragment, out: &mut Vec<u8>) {
        let last = self.waiting.back().map(|b| b.lane);
        let goes_on = match last {
            Some(lane) => lane == Lane::Text,
            None => self.live.as_ref().is_some_and(|b| b.lane == Lane::Text),
        };
        if !goes_on {
            self.begin(Lane::Text, String::new(), String::new(), out);
        }
        self.add(Lane::Text, words, out);
    }

    /// A tool's use begins.
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
            held: String::new(),
        };
        self.count(block.id.len() + block.name.len());
        self.waiting.push_back(block);
        self.advance(out);
    }

    /// More of a block.
    pub(super) fn add(&mut self, lane: Lane, words: TextFragment, out: &mut Vec<u8>) {
        if let Some(live) = self.live.as_mut().filter(|b| b.lane == lane) {
            let text = live.joiner.join(words);
            live.nesting.take(&text);
            delta(out, self.next - 1, lane, &text);
            return self.advance(out);
        }
        // Of a text that is the last: an earlier one is over once something else has come.
        if let Some(block) = self.waiting.iter_mut().rev().find(|b| b.lane == lane) {
            let text = block.joiner.join(words);
            block.nesting.take(&text);
            block.held.push_str(&text);
            self.count(text.len());
            return;
        }
        let late = matches!(lane, Lane::Call(number) if self.over.contains(&number));
        if late && words.0.iter().any(|b| !b.is_ascii_whitespace()) {
            // More JSON after the whole of it: nobody could make sense of that.
            self.full = true;
        }
    }

    fn count(&mut self, bytes: usize) {
        self.waiting_bytes += bytes;
        self.full |= self.waiting_bytes > self.most_waiting;
    }

    /// Moves on to those that wait, as far as the live one lets them.
    fn advance(&mut self, out: &mut Vec<u8>) {
        while !self.waiting.is_empty() {
            let done = self.live.as_ref().is_none_or(|b| b.lane == Lane::Text || b.nesting.is_whole());
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
        let held = std::mem::take(&mut block.held);
        self.waiting_bytes -= block.id.len() + block.name.len() + held.len();
        if !held.is_empty() {
            delta(out, index, block.lane, &held);
        }
        self.live = Some(block);
    }

    fn stop(&mut self, out: &mut Vec<u8>) {
        let Some(mut block) = self.live.take() else { return };
        let mut rest = String::new();
        block.joiner.end(&mut rest);
        delta(out, self.next - 1, block.lane, &rest);
        event(out, "content_block_stop", |data| {
            data.set("index", &(self.next - 1));
        });
        if let Lane::Call(number) = block.lane {
            self.over.insert(number);
        }
    }

    /// All has come.
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
