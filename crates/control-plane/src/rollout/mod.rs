//! The duty of bringing replicas to the weights that the operator named.

mod load;
mod messages;
mod naming;
mod planner;
mod target;

use std::collections::BTreeMap;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::future;
use tulipridge_http1::Http1Limits;
use tulipridge_protocol::feed::{ModelRevision, ModelWeights};
use tulipridge_runtime::clock;

pub use messages::{OrderAnswer, Report, RevisionOrder};
pub use naming::{NamedBefore, NamingTimes};
pub use planner::{Action, Planner, PlannerSettings};

use crate::http_client::{Call, CallError, HttpClient};
use crate::singleton::{SingletonContext, SingletonLease};

/// Time for a replica to answer an order or a call for its report.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Time from one look at who has the duty to the next, while nothing else happens.
const DUTY_INTERVAL: Duration = Duration::from_millis(250);
/// Shortest pause before something that is due.
const SHORTEST_PAUSE: Duration = Duration::from_millis(10);

/// News for the roll-out.
#[derive(Debug)]
pub enum Event {
    /// The operator has named weights.
    Named,
    /// A complete list has come.
    Listed,
    /// A replica has answered an order.
    OrderAnswered(String, OrderAnswer),
    /// A replica's report has come, or has not.
    Reported(String, Option<Report>),
}

/// What the roll-out delivers.
pub trait RolloutOutput {
    /// The table of weights, written in an epoch.
    fn weights(&self, epoch: u64, lines: Vec<ModelWeights>);
    /// The table of replicas has new corrections.
    fn fleet_corrected(&self);
    /// The operator's newest weights, by model.
    fn named(&self) -> BTreeMap<String, u64>;
    /// The weights that were delivered last, by this or an earlier primary.
    fn delivered(&self) -> Vec<ModelWeights>;
    /// Work of gateways that waits at each replica.
    fn waiting(&self) -> BTreeMap<String, u32>;
}

/// Carries out the plan while this member has the duty.
pub struct Rollout {
    name: String,
    settings: PlannerSettings,
    context: SingletonContext,
    output: Rc<dyn RolloutOutput>,
    events: Receiver<Event>,
    sender: Sender<Event>,
    naming: NamingTimes,
    term: Option<Term>,
}

/// This member's time as holder in one epoch.
struct Term {
    duty: SingletonLease,
    planner: Planner,
}

impl Rollout {
    /// The roll-out, and where its news go.
    pub fn new(
        name: String,
        settings: PlannerSettings,
        context: SingletonContext,
        output: Rc<dyn RolloutOutput>,
    ) -> (Rollout, Sender<Event>) {
        let (sender, events) = async_channel::unbounded();
        let news = sender.clone();
        let naming = NamingTimes::new(clock::now());
        let rollout = Rollout { name, settings, context, output, events, sender, naming, term: None };
        (rollout, news)
    }

    /// Works for ever.
    pub async fn run(mut self) {
        loop {
            let event = self.next_event().await;
            self.hear_names();
            self.keep_term();
            if let Some(event) = event {
                self.take(event);
            }
            self.step();
        }
    }

    /// The next event; none when something else may be due.
    async fn next_event(&self) -> Option<Event> {
        let now = clock::now();
        let due = self.term.as_ref().and_then(|term| term.planner.next_deadline());
        let pause =
            due.map_or(DUTY_INTERVAL, |due| due.saturating_sub(now).clamp(SHORTEST_PAUSE, DUTY_INTERVAL));
        let timer = async {
            Timer::after(pause).await;
            None
        };
        let event = async { self.events.recv().await.ok() };
        future::or(event, timer).await
    }

    /// Notes what is named, whether or not this member has the duty: it may be the next to have it.
    fn hear_names(&mut self) {
        self.naming.advance(clock::now(), self.context.lease_status.knows_primary());
        for (model, revision) in self.output.named() {
            self.naming.hear(&model, revision);
        }
        for line in self.output.delivered() {
            self.naming.hear(&line.model, line.named);
        }
    }

    /// Begins a term when the duty comes to this member.
    fn keep_term(&mut self) {
        let Some(duty) = self.context.lease_status.singleton_lease() else { return };
        if let Some(term) = self.term.as_mut().filter(|term| term.duty.tenure == duty.tenure) {
            term.duty = duty;
            return;
        }
        let now = clock::now();
        let mut planner = Planner::new(self.settings, now);
        planner.inherit(&self.output.delivered());
        for named in self.naming.ages() {
            planner.named(named.model, named.revision, named.age, now);
        }
        if let Some(listed) = self.context.table.borrow().listed(duty.tenure) {
            planner.listed(listed, now);
        }
        self.term = Some(Term { duty, planner });
    }

    fn take(&mut self, event: Event) {
        let now = clock::now();
        let Some(Term { duty, planner }) = &mut self.term else { return };
        match event {
            Event::Named => {
                for named in self.naming.ages() {
                    if planner.named(named.model, named.revision, named.age, now) {
                        log::info!(model:% = named.model, revision = named.revision; "weights are named");
                    }
                }
            }
            Event::Listed => {
                if let Some(listed) = self.context.table.borrow().listed(duty.tenure) {
                    planner.listed(listed, now);
                }
            }
            Event::OrderAnswered(replica, answer) => planner.order_answered(&replica, answer, now),
            Event::Reported(replica, report) => planner.reported(&replica, report.as_ref(), now),
        }
    }

    fn step(&mut self) {
        let Some(duty) = self.context.lease_status.singleton_lease() else { return };
        let Some(term) = self.term.as_mut().filter(|term| term.duty == duty) else { return };
        let before = term.planner.weights();
        term.planner.work_waits(self.output.waiting());
        let actions = term.planner.step(clock::now());
        log_withdrawals(&term.planner, &before);
        self.output.weights(duty.epoch, term.planner.weights());
        if self.context.table.borrow_mut().correct(term.planner.corrections()) {
            self.output.fleet_corrected();
        }
        for action in actions {
            self.carry_out(action, duty);
        }
    }

    fn carry_out(&self, action: Action, duty: SingletonLease) {
        let events = self.sender.clone();
        match action {
            Action::Order { replica, address, weights } => {
                log::info!(replica:% = replica, model:% = weights.model, revision = weights.revision; "order to load weights");
                let owner = self.name.clone();
                self.context
                    .executor
                    .spawn(async move {
                        let answer = order(address, &replica, &weights, &owner, duty.epoch).await;
                        log::info!(replica:% = replica, answer:? = answer; "answer to an order");
                        let _ = events.send(Event::OrderAnswered(replica, answer)).await;
                    })
                    .detach();
            }
            Action::Report { replica, address } => {
                self.context
                    .executor
                    .spawn(async move {
                        let report = report(address).await;
                        let _ = events.send(Event::Reported(replica, report)).await;
                    })
                    .detach();
            }
        }
    }
}

/// Tells of each revision below which weights are not used any more, and which replicas still have such weights.
fn log_withdrawals(planner: &Planner, before: &[ModelWeights]) {
    for line in planner.weights() {
        let known = before.iter().find(|known| known.model == line.model).map_or(0, |known| known.least);
        if line.least > known {
            let outdated = planner.outdated(&line.model, line.least);
            log::info!(
                model:% = line.model, least = line.least, named = line.named,
                outdated = outdated.len(), replicas:% = outdated.join(" ");
                "older weights are withdrawn"
            );
        }
    }
}

async fn order(
    address: SocketAddrV4,
    replica: &str,
    weights: &ModelRevision,
    owner: &str,
    fence: u64,
) -> OrderAnswer {
    let Ok(body) = serde_json::to_vec(&RevisionOrder::new(weights, owner, fence)) else {
        return OrderAnswer::Refused;
    };
    let headers = [("Meant-Server", replica)];
    let call = Call { method: "POST", target: "/order", headers: &headers, body: &body };
    match client(address).call(call, CALL_TIMEOUT).await {
        Ok(answer) => OrderAnswer::from_status(answer.status),
        Err(CallError::Connect { .. }) => OrderAnswer::Refused,
        Err(CallError::Broken { .. }) => OrderAnswer::Unanswered,
    }
}

async fn report(address: SocketAddrV4) -> Option<Report> {
    let answer = client(address).call(Call::get("/report"), CALL_TIMEOUT).await.ok()?;
    if answer.status != 200 {
        return None;
    }
    serde_json::from_slice(&answer.body).ok()
}

fn client(address: SocketAddrV4) -> HttpClient {
    let limits = Http1Limits { connect_timeout: Duration::from_millis(400), ..Http1Limits::default() };
    HttpClient::new(SocketAddr::V4(address), limits)
}
