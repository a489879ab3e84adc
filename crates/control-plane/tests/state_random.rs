//! Random calls of several operators: members that decide, follow and restore snapshots all agree with a plain
//! model, at every step.

mod support;

use std::collections::VecDeque;

use fastrand::Rng;
use rstest::rstest;
use serde_json::Value;
use support::random::{chance, pick};
use support::reference::{Answer, Reference};
use support::state_calls::{name, patch, patch_route, put_routes, restored, route};
use tulipridge_control_plane::state::{Accepted, Applied, Change, Decision, State};

const STEPS: usize = 400;
/// The most commands that were decided on and not yet applied.
const MAX_UNDER_WAY: usize = 8;
const LABELS: [&str; 5] = ["a", "b", "c", "d", "e"];
const PREFIXES: [&str; 6] = ["/1/", "/2/", "/3/", "/4/", "/5/", "/6/"];
const MODELS: [&str; 2] = ["m", "n"];

/// Members of one group and the model of what they agree on.
struct Group {
    random: Rng,
    reference: Reference,
    /// Decides on all changes, and uses what it has prepared.
    deciding: State,
    /// Applies the encoded commands.
    following: State,
    /// Now and then goes on from a snapshot of another member.
    restoring: State,
    under_way: VecDeque<(Change, Accepted)>,
    sent: Vec<Change>,
    outcomes: Outcomes,
}

/// What has happened, so that a history which tests nothing is noticed.
#[derive(Default)]
struct Outcomes {
    answers: Vec<Answer>,
    applied: Vec<Applied>,
}

impl Group {
    fn new(seed: u64) -> Group {
        Group {
            random: Rng::with_seed(seed),
            reference: Reference::default(),
            deciding: State::default(),
            following: State::default(),
            restoring: State::default(),
            under_way: VecDeque::new(),
            sent: Vec::new(),
            outcomes: Outcomes::default(),
        }
    }

    fn step(&mut self) {
        match self.random.u8(..10) {
            0..5 if self.under_way.len() < MAX_UNDER_WAY => self.call(),
            5 => self.restore(),
            _ => self.apply_next(),
        }
    }

    /// An operator sends a new call, or an earlier one again.
    fn call(&mut self) {
        let change = match self.sent.is_empty() || chance(&mut self.random, 700) {
            true => self.new_change(),
            false => self.repeated_change(),
        };
        let decision = self.deciding.decide(&change);
        assert_eq!(self.following.decide(&change), decision);
        assert_eq!(self.restoring.decide(&change), decision);
        let answer = Answer::of(&decision);
        assert_eq!(answer, self.reference.answer(&change), "{change:?}");
        self.outcomes.answers.push(answer);
        if let Decision::Accept(accepted) = decision {
            self.under_way.push_back((change.clone(), *accepted));
        }
        self.sent.push(change);
    }

    fn apply_next(&mut self) {
        let Some((change, accepted)) = self.under_way.pop_front() else { return };
        let takes_effect = self.reference.answer(&change) == Answer::Accept;
        let expected = self.reference.apply(&change);
        self.outcomes.applied.push(expected);
        let command = accepted.command.clone();
        assert_eq!(self.following.apply(&command).expect("it can be applied"), expected, "{change:?}");
        assert_eq!(self.restoring.apply(&command).expect("it can be applied"), expected);
        assert_eq!(self.deciding.apply_accepted(accepted).expect("it can be applied"), expected);
        self.check();
        if let (true, Change::PutConfiguration { body, .. }) = (takes_effect, &change) {
            assert_eq!(self.following.document().expect("it was put").text(), body);
        }
    }

    fn restore(&mut self) {
        let member = pick(&mut self.random, &[&self.deciding, &self.following, &self.restoring]);
        self.restoring = restored(member);
        if chance(&mut self.random, 200) {
            self.deciding = restored(&self.following);
        }
        assert_eq!(self.restoring, self.following);
        assert_eq!(self.deciding, self.following);
    }

    fn check(&self) {
        assert_eq!(self.deciding, self.following);
        assert_eq!(self.restoring, self.following);
        assert_eq!(self.deciding.snapshot(), self.following.snapshot());
        assert_eq!(self.restoring.snapshot(), self.following.snapshot());
        assert_eq!(self.following.weights().newest(), self.reference.newest_weights());
        let text = self.following.document().map(tulipridge_configuration::Document::to_bytes);
        let document: Option<Value> =
            text.as_deref().map(|text| serde_json::from_slice(text).expect("JSON"));
        assert_eq!(document.as_ref(), self.reference.document());
    }

    fn new_change(&mut self) -> Change {
        let base = self.base();
        let revision = base + self.random.u64(0..4);
        match self.random.u8(..10) {
            0..3 => {
                let routes = self.routes();
                put_routes(base, revision, &routes)
            }
            3..6 => {
                let (label, prefix) = (pick(&mut self.random, &LABELS), pick(&mut self.random, &PREFIXES));
                patch_route(base, revision, label, prefix)
            }
            6 => self.removal(base, revision, "routes", &LABELS),
            7 => self.removal(base, revision, "backends", &["chat", "none", "none"]),
            8 => self.cut_change(base, revision),
            _ => name(pick(&mut self.random, &MODELS), self.random.u64(0..self.sent.len() as u64 + 3)),
        }
    }

    /// Mostly the version in force.
    fn base(&mut self) -> u64 {
        match chance(&mut self.random, 900) {
            true => self.reference.revision(),
            false => self.random.u64(0..self.reference.revision() + 2),
        }
    }

    fn routes(&mut self) -> Vec<String> {
        let count = self.random.usize(..4);
        let mut new_route = |_| route(pick(&mut self.random, &LABELS), pick(&mut self.random, &PREFIXES));
        (0..count).map(&mut new_route).collect()
    }

    fn removal(&mut self, base: u64, revision: u64, list: &str, labels: &[&str]) -> Change {
        let label = pick(&mut self.random, labels);
        patch(base, &format!(r#"{{"revision":{revision},"remove":{{"{list}":["{label}"]}}}}"#))
    }

    fn cut_change(&mut self, base: u64, revision: u64) -> Change {
        let Change::PutConfiguration { if_match, mut body } = put_routes(base, revision, &[]) else {
            unreachable!("a put is a put")
        };
        body.truncate(self.random.usize(..body.len()));
        Change::PutConfiguration { if_match, body }
    }

    /// One of the calls that were sent, at times written otherwise.
    fn repeated_change(&mut self) -> Change {
        let index = self.random.usize(..self.sent.len());
        let mut change = self.sent[index].clone();
        if chance(&mut self.random, 300) {
            rewrite(&mut change);
        }
        change
    }
}

/// The same call with its fields in order and white space between them.
fn rewrite(change: &mut Change) {
    let (Change::PutConfiguration { body, .. } | Change::PatchConfiguration { body, .. }) = change else {
        return;
    };
    if let Ok(value) = serde_json::from_slice::<Value>(body) {
        *body = serde_json::to_vec_pretty(&value).expect("a value can be written");
    }
}

#[rstest]
fn members_agree_with_the_model(#[values(0, 1, 2, 3, 4, 5, 6, 7)] tens: u64) {
    for seed in 10 * tens..10 * (tens + 1) {
        let mut group = Group::new(seed);
        for _ in 0..STEPS {
            group.step();
        }
        while !group.under_way.is_empty() {
            group.apply_next();
        }
        group.outcomes.check(seed);
    }
}

impl Outcomes {
    /// Each kind of answer and of outcome has happened.
    fn check(&self, seed: u64) {
        let has_answer = |is_kind: fn(&Answer) -> bool| self.answers.iter().any(is_kind);
        assert!(has_answer(|answer| matches!(answer, Answer::Accept)), "seed {seed}");
        assert!(has_answer(|answer| matches!(answer, Answer::AlreadyAccepted)), "seed {seed}");
        assert!(has_answer(|answer| matches!(answer, Answer::Stale(_))), "seed {seed}");
        assert!(has_answer(|answer| matches!(answer, Answer::Invalid)), "seed {seed}");
        for applied in [Applied::Configuration, Applied::Weights, Applied::Superseded] {
            assert!(self.applied.contains(&applied), "seed {seed}: {applied:?}");
        }
    }
}
