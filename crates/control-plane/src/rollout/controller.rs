//! Carries out the rollout plan while this member is primary.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::future;
use tulipridge_configuration::number::WeightsRevision;
use tulipridge_protocol::feed::{ModelRevision, ModelWeights};
use tulipridge_runtime::clock;

use super::announcements::AnnouncementTimes;
use super::messages::FencingToken;
use super::planner::{Action, Planner, PlannerSettings};
use super::replica_client::{self, ReplicaEndpoint};
use super::{Event, RolloutOutput};
use crate::singleton::{SingletonContext, SingletonLease};

/// Maximum interval between checks of the lease.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum wait, so that a deadline in the past does not cause a busy loop.
const MIN_WAIT: Duration = Duration::from_millis(10);

/// The rollout controller of a member, which acts while the member is primary.
pub struct Rollout {
    /// The member's name, which load commands contain as their owner.
    name: String,
    settings: PlannerSettings,
    context: SingletonContext,
    output: Rc<dyn RolloutOutput>,
    events: Receiver<Event>,
    sender: Sender<Event>,
    announcements: AnnouncementTimes,
    /// The state of the last tenure of this member: none before the first one, outdated while another member is
    /// primary.
    tenure: Option<TenureState>,
}

/// The state of one tenure of this member as primary.
struct TenureState {
    lease: SingletonLease,
    planner: Planner,
    /// Whether the plan has adopted the loads that the table inherited from an earlier primary.
    has_inherited_loads: bool,
}

impl Rollout {
    /// Creates the controller of the member `name`, and returns it with the sender of its events.
    pub fn new(
        name: String,
        settings: PlannerSettings,
        context: SingletonContext,
        output: Rc<dyn RolloutOutput>,
    ) -> (Rollout, Sender<Event>) {
        let (sender, events) = async_channel::unbounded();
        let event_sender = sender.clone();
        let announcements = AnnouncementTimes::new(clock::now());
        let rollout =
            Rollout { name, settings, context, output, events, sender, announcements, tenure: None };
        (rollout, event_sender)
    }

    /// Runs the rollout; does not return.
    pub async fn run(mut self) {
        loop {
            let event = self.next_event().await;
            self.record_announcements();
            self.refresh_tenure();
            if let Some(event) = event {
                self.handle(event);
            }
            self.step();
        }
    }

    /// Waits for the next event; returns `None` when the planner's next deadline or the lease check is due.
    async fn next_event(&self) -> Option<Event> {
        let wait = self.time_to_next_deadline(clock::now());
        let timer = async {
            Timer::after(wait).await;
            None
        };
        let event = async { self.events.recv().await.ok() };
        future::or(event, timer).await
    }

    fn time_to_next_deadline(&self, now: Duration) -> Duration {
        let deadline = self.tenure.as_ref().and_then(|tenure| tenure.planner.next_deadline());
        deadline.map_or(LEASE_CHECK_INTERVAL, |deadline| {
            deadline.saturating_sub(now).clamp(MIN_WAIT, LEASE_CHECK_INTERVAL)
        })
    }

    /// Records the announced targets. Targets are also recorded while another member is primary, because this member
    /// may become primary.
    fn record_announcements(&mut self) {
        self.announcements.advance(clock::now(), self.context.lease_status.knows_primary());
        for (model, revision) in self.output.target_revisions() {
            self.announcements.record(&model, revision);
        }
        for weights in self.output.delivered_weights() {
            self.announcements.record(&weights.model, weights.target);
        }
    }

    /// Creates a new plan when this member has become primary.
    fn refresh_tenure(&mut self) {
        let Some(lease) = self.context.lease_status.singleton_lease() else { return };
        match self.tenure.as_mut().filter(|tenure| tenure.lease.tenure == lease.tenure) {
            Some(tenure) => tenure.lease = lease,
            None => {
                let planner = self.new_planner(clock::now());
                self.tenure = Some(TenureState { lease, planner, has_inherited_loads: false });
            }
        }
        self.inherit_loads();
    }

    /// Passes the loads known to an earlier primary to the plan, after the first complete list of the tenure.
    fn inherit_loads(&mut self) {
        let Some(tenure) = self.tenure.as_mut().filter(|tenure| !tenure.has_inherited_loads) else {
            return;
        };
        let table = self.context.table.borrow();
        let Some(replicas) = table.listed(tenure.lease.tenure) else { return };
        let now = clock::now();
        tenure.planner.set_replicas(replicas, now);
        tenure.planner.inherit_loads(table.corrections(), now);
        tenure.has_inherited_loads = true;
        if !table.corrections().loading.is_empty() {
            log::info!(replicas = table.corrections().loading.len(); "loads of an earlier primary are continued");
        }
    }

    fn new_planner(&self, now: Duration) -> Planner {
        let mut planner = Planner::new(self.settings, now);
        planner.inherit(&self.output.delivered_weights());
        for announcement in self.announcements.announcements() {
            planner.announce(announcement, now);
        }
        planner
    }

    fn handle(&mut self, event: Event) {
        let now = clock::now();
        let Some(TenureState { lease, planner, .. }) = &mut self.tenure else { return };
        match event {
            Event::TargetsAnnounced => announce_all(planner, &self.announcements, now),
            Event::Listed => {
                if let Some(replicas) = self.context.table.borrow().listed(lease.tenure) {
                    planner.set_replicas(replicas, now);
                }
            }
            Event::CommandFinished { replica, outcome } => planner.record_outcome(&replica, outcome, now),
            Event::ReportFinished { replica, report } => {
                planner.record_report(&replica, report.as_ref(), now);
            }
        }
    }

    /// Performs the planner's steps that are due, if this member holds the singleton lease.
    fn step(&mut self) {
        let Some(lease) = self.context.lease_status.singleton_lease() else { return };
        let Some(tenure) = self.tenure.as_mut().filter(|tenure| tenure.lease == lease) else { return };
        let before = tenure.planner.weights();
        tenure.planner.set_queued_work(self.output.queued_work());
        let actions = tenure.planner.step(clock::now());
        log_withdrawals(&tenure.planner, &before);
        self.output.weights(lease.epoch, tenure.planner.weights());
        if self.context.table.borrow_mut().set_corrections(tenure.planner.corrections()) {
            self.output.fleet_corrected();
        }
        for action in actions {
            self.spawn(action, FencingToken(lease.epoch.0));
        }
    }

    /// Starts an action in the background; its result is sent as an event.
    fn spawn(&self, action: Action, fencing_token: FencingToken) {
        match action {
            Action::SendCommand { replica, weights } => self.spawn_command(replica, weights, fencing_token),
            Action::FetchReport { replica } => self.spawn_report(replica),
        }
    }

    fn spawn_command(&self, replica: ReplicaEndpoint, weights: ModelRevision, fencing_token: FencingToken) {
        log::info!(replica:% = replica.id, model:% = weights.model, revision = weights.revision.0; "load command is sent");
        let events = self.sender.clone();
        let owner = self.name.clone();
        let command = async move {
            let outcome =
                replica_client::send_load_command(&replica, &weights, &owner, fencing_token).await;
            log::info!(replica:% = replica.id, outcome:? = outcome; "load command has ended");
            let _ = events.send(Event::CommandFinished { replica: replica.id, outcome }).await;
        };
        self.context.executor.spawn(command).detach();
    }

    fn spawn_report(&self, replica: ReplicaEndpoint) {
        let events = self.sender.clone();
        let request = async move {
            let report = replica_client::fetch_report(replica.address).await;
            let _ = events.send(Event::ReportFinished { replica: replica.id, report }).await;
        };
        self.context.executor.spawn(request).detach();
    }
}

fn announce_all(planner: &mut Planner, announcements: &AnnouncementTimes, now: Duration) {
    for announcement in announcements.announcements() {
        if planner.announce(announcement, now) {
            log::info!(model:% = announcement.model, revision = announcement.revision.0; "target revision is announced");
        }
    }
}

/// Logs each model of which more revisions are withdrawn than in `before`, and the replicas that still have withdrawn
/// weights of the model.
fn log_withdrawals(planner: &Planner, before: &[ModelWeights]) {
    let minimum_before: BTreeMap<&str, WeightsRevision> =
        before.iter().map(|weights| (weights.model.as_str(), weights.minimum)).collect();
    for weights in planner.weights() {
        let previous_minimum = minimum_before.get(weights.model.as_str()).copied().unwrap_or_default();
        if weights.minimum > previous_minimum {
            let outdated = planner.outdated_replicas(&weights.model, weights.minimum);
            log::info!(
                model:% = weights.model, least = weights.minimum.0, named = weights.target.0,
                outdated = outdated.len(), replicas:% = outdated.join(" ");
                "older weights are withdrawn"
            );
        }
    }
}
