//! Random requests of several operators: members that decide, follow and restore snapshots agree with a reference model
//! after every step.

mod support;

use std::collections::VecDeque;

use fastrand::Rng;
use rstest::rstest;
use serde_json::Value;
use support::random::{chance, pick};
use support::reference::{ChangeResponse, Reference};
use support::state_calls::{name, patch, patch_route, put_routes, restored, route};
use tulipridge_control_plane::state::{Accepted, Applied, Change, Decision, State};

const STEPS: usize = 400;
/// Maximum number of commands that were decided on and are not yet applied.
const MAX_PENDING: usize = 8;
const LABELS: [&str; 5] = ["a", "b", "c", "d", "e"];
const PREFIXES: [&str; 6] = ["/1/", "/2/", "/3/", "/4/", "/5/", "/6/"];
const MODELS: [&str; 2] = ["m", "n"];

/// Members of one cluster, and the reference model of their replicated state.
struct Cluster {
    random: Rng,
    reference: Reference,
    /// Decides on all changes, and applies the states that its decisions prepared.
    deciding: State,
    /// Applies the encoded commands only.
    following: State,
    /// Occasionally restores a snapshot of another member.
    restoring: State,
    pending: VecDeque<(Change, Accepted)>,
    sent_changes: Vec<Change>,
    outcomes: Outcomes,
}

/// The decisions and outcomes of a history, so that a history which covers too little is detected.
#[derive(Default)]
struct Outcomes {
    responses: Vec<ChangeResponse>,
    applied: Vec<Applied>,
}

impl Cluster {
    fn new(seed: u64) -> Cluster {
        Cluster {
            random: Rng::with_seed(seed),
            reference: Reference::default(),
            deciding: State::default(),
            following: State::default(),
            restoring: State::default(),
            pending: VecDeque::new(),
            sent_changes: Vec::new(),
            outcomes: Outcomes::default(),
        }
    }

    fn step(&mut self) {
        match self.random.u8(..10) {
            0..5 if self.pending.len() < MAX_PENDING => self.send_request(),
            5 => self.restore(),
            _ => self.apply_next(),
        }
    }

    /// An operator sends a new request, or repeats an earlier one.
    fn send_request(&mut self) {
        let change = match self.sent_changes.is_empty() || chance(&mut self.random, 700) {
            true => self.new_change(),
            false => self.repeated_change(),
        };
        let decision = self.deciding.decide(&change);
        assert_eq!(self.following.decide(&change), decision);
        assert_eq!(self.restoring.decide(&change), decision);
        let response = ChangeResponse::of(&decision);
        assert_eq!(response, self.reference.response(&change), "{change:?}");
        self.outcomes.responses.push(response);
        if let Decision::Accept(accepted) = decision {
            self.pending.push_back((change.clone(), *accepted));
        }
        self.sent_changes.push(change);
    }

    fn apply_next(&mut self) {
        let Some((change, accepted)) = self.pending.pop_front() else { return };
        let takes_effect = self.reference.response(&change) == ChangeResponse::Accept;
        let expected = self.reference.apply(&change);
        self.outcomes.applied.push(expected);
        let command = accepted.command.clone();
        assert_eq!(
            self.following.apply(&command).expect("the command can be applied"),
            expected,
            "{change:?}"
        );
        assert_eq!(self.restoring.apply(&command).expect("the command can be applied"), expected);
        assert_eq!(self.deciding.apply_accepted(accepted).expect("the command can be applied"), expected);
        self.check();
        if let (true, Change::PutConfiguration { body, .. }) = (takes_effect, &change) {
            assert_eq!(self.following.document().expect("a document was put").text(), body);
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
        let if_match = self.if_match();
        let revision = if_match + self.random.u64(0..4);
        match self.random.u8(..10) {
            0..3 => {
                let routes = self.routes();
                put_routes(if_match, revision, &routes)
            }
            3..6 => {
                let (label, prefix) = (pick(&mut self.random, &LABELS), pick(&mut self.random, &PREFIXES));
                patch_route(if_match, revision, label, prefix)
            }
            6 => self.removal(if_match, revision, "routes", &LABELS),
            7 => self.removal(if_match, revision, "backends", &["chat", "none", "none"]),
            8 => self.truncated_change(if_match, revision),
            _ => name(
                pick(&mut self.random, &MODELS),
                self.random.u64(0..self.sent_changes.len() as u64 + 3),
            ),
        }
    }

    /// Usually the current revision.
    fn if_match(&mut self) -> u64 {
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

    fn removal(&mut self, if_match: u64, revision: u64, list: &str, labels: &[&str]) -> Change {
        let label = pick(&mut self.random, labels);
        patch(if_match, &format!(r#"{{"revision":{revision},"remove":{{"{list}":["{label}"]}}}}"#))
    }

    fn truncated_change(&mut self, if_match: u64, revision: u64) -> Change {
        let Change::PutConfiguration { if_match, mut body } = put_routes(if_match, revision, &[]) else {
            unreachable!("put_routes returns a put")
        };
        body.truncate(self.random.usize(..body.len()));
        Change::PutConfiguration { if_match, body }
    }

    /// One of the requests that were sent, sometimes in another serialization.
    fn repeated_change(&mut self) -> Change {
        let index = self.random.usize(..self.sent_changes.len());
        let mut change = self.sent_changes[index].clone();
        if chance(&mut self.random, 300) {
            reserialize(&mut change);
        }
        change
    }
}

/// Serializes a request again, with its fields sorted and with white space.
fn reserialize(change: &mut Change) {
    let (Change::PutConfiguration { body, .. } | Change::PatchConfiguration { body, .. }) = change else {
        return;
    };
    if let Ok(value) = serde_json::from_slice::<Value>(body) {
        *body = serde_json::to_vec_pretty(&value).expect("a JSON value can be serialized");
    }
}

#[rstest]
fn members_agree_with_the_reference_model(#[values(0, 1, 2, 3, 4, 5, 6, 7)] batch: u64) {
    for seed in 10 * batch..10 * (batch + 1) {
        let mut cluster = Cluster::new(seed);
        for _ in 0..STEPS {
            cluster.step();
        }
        while !cluster.pending.is_empty() {
            cluster.apply_next();
        }
        cluster.outcomes.check(seed);
    }
}

impl Outcomes {
    /// Checks that each kind of decision and of outcome has occurred.
    fn check(&self, seed: u64) {
        let has_response = |is_kind: fn(&ChangeResponse) -> bool| self.responses.iter().any(is_kind);
        assert!(has_response(|response| matches!(response, ChangeResponse::Accept)), "seed {seed}");
        assert!(
            has_response(|response| matches!(response, ChangeResponse::AlreadyAccepted)),
            "seed {seed}"
        );
        assert!(has_response(|response| matches!(response, ChangeResponse::Stale(_))), "seed {seed}");
        assert!(has_response(|response| matches!(response, ChangeResponse::Invalid)), "seed {seed}");
        for applied in [Applied::Configuration, Applied::Weights, Applied::Superseded] {
            assert!(self.applied.contains(&applied), "seed {seed}: {applied:?}");
        }
    }
}
