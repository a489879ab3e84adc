//! Plans the rollout of weights: which replica loads when, and when older weights are withdrawn.
//!
//! The planner performs no I/O and reads no clock: the caller passes events and the current time, and carries out the
//! returned actions.

mod fleet_view;
mod load;
mod load_time;
mod selection;
mod target;

use std::collections::BTreeMap;
use std::time::Duration;

use tulipridge_configuration::number::WeightsRevision;
use tulipridge_protocol::feed::{ModelRevision, ModelWeights, Replica};
use tulipridge_runtime::settings::RevisionTerm;

use self::fleet_view::FleetView;
use self::load::{Load, NextStep};
use self::load_time::LoadTimeEstimate;
use self::selection::Selection;
use self::target::{Deadline, Target};
use super::announcements::Announcement;
use super::messages::{CommandOutcome, ReplicaReport};
use super::replica_client::ReplicaEndpoint;
use crate::fleet::Corrections;

/// Time between marking a replica as loading and sending the load command. In this time, the gateways are informed and
/// stop sending requests to the replica.
const DRAIN_PROPAGATION_TIME: Duration = Duration::from_millis(200);
/// Maximum delay of the load command after the start of a load. The command is delayed while requests are queued at
/// the replica, because the command rejects them.
const MAX_QUEUE_DRAIN_TIME: Duration = Duration::from_secs(1);
/// Interval at which a replica's queue is checked before the load command.
const QUEUE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which a loading replica's report is fetched.
const REPORT_INTERVAL: Duration = Duration::from_millis(150);
/// Maximum age of the state that a report shows.
const REPORT_LAG: Duration = Duration::from_millis(600);
/// Backoff after a replica refused a load command.
const COMMAND_BACKOFF: Duration = Duration::from_secs(1);
/// Backoff for a replica with withdrawn weights, which is shorter because it receives no requests until it has
/// loaded.
const URGENT_COMMAND_BACKOFF: Duration = Duration::from_millis(200);

/// Time limits from the settings of the deployment.
#[derive(Clone, Copy, Debug)]
pub struct PlannerSettings {
    /// The operator's term for a new revision, after which no request may start on older weights.
    pub revision_term: RevisionTerm,
    /// The lease term. A new primary sends no commands for this time, because the lease of an earlier one may still
    /// be valid.
    pub lease_term: Duration,
}

/// A call to a replica that the planner requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a load command; its outcome goes to [`Planner::record_outcome`].
    SendCommand {
        /// The replica.
        replica: ReplicaEndpoint,
        /// The model, and the revision to load.
        weights: ModelRevision,
    },
    /// Fetch a replica's report, which goes to [`Planner::record_report`].
    FetchReport {
        /// The replica.
        replica: ReplicaEndpoint,
    },
}

/// The rollout plan of one tenure as primary.
#[derive(Debug)]
pub struct Planner {
    settings: PlannerSettings,
    /// No load command is sent before this time.
    commands_from: Duration,
    /// Whether a replica has refused this primary's fencing token.
    is_fenced: bool,
    /// The target of each model. Every model in `loads` has one.
    targets: BTreeMap<String, Target>,
    fleet: FleetView,
    /// Loads in progress, by replica id.
    loads: BTreeMap<String, Load>,
    /// The earliest time of the next command to each replica that refused one, by replica id.
    backoffs: BTreeMap<String, Duration>,
    load_time: LoadTimeEstimate,
}

impl Planner {
    /// Creates the plan of a member that becomes primary at `now`.
    #[must_use]
    pub fn new(settings: PlannerSettings, now: Duration) -> Planner {
        Planner {
            settings,
            commands_from: now + settings.lease_term,
            is_fenced: false,
            targets: BTreeMap::new(),
            fleet: FleetView::default(),
            loads: BTreeMap::new(),
            backoffs: BTreeMap::new(),
            load_time: LoadTimeEstimate::default(),
        }
    }

    /// Adopts the table of weights that an earlier primary delivered: withdrawn revisions remain withdrawn.
    pub fn inherit(&mut self, delivered: &[ModelWeights]) {
        for weights in delivered {
            self.targets.entry(weights.model.clone()).or_default().inherit(weights);
        }
    }

    /// Adopts what an earlier primary knew of the listed replicas. Replicas that were loading may still be: their
    /// reports are fetched, and they receive no requests until a report shows that no load is in progress.
    pub fn inherit_loads(&mut self, delivered: &Corrections, now: Duration) {
        for (id, models) in &delivered.revisions {
            models.iter().for_each(|weights| self.fleet.observe(id, weights.clone()));
        }
        for id in &delivered.loading {
            if let Some(weights) = self.lacking_target(id) {
                self.loads.insert(id.clone(), Load::inherit(weights, now));
            }
        }
    }

    /// The target of the first model, by name, of which the listed replica `id` has older weights than the target.
    fn lacking_target(&self, id: &str) -> Option<ModelRevision> {
        let mut targets = self.targets.iter();
        let (model, target) =
            targets.find(|(model, target)| self.fleet.has_older_weights(id, model, target.revision))?;
        Some(ModelRevision { model: model.clone(), revision: target.revision })
    }

    /// Adds a target that the operator announced, and returns whether it is new.
    pub fn announce(&mut self, announcement: Announcement<'_>, now: Duration) -> bool {
        let deadline = Deadline::of(announcement, self.settings.revision_term, now);
        self.targets.entry(announcement.model.to_owned()).or_default().announce(deadline)
    }

    /// Replaces the replica list. Loads of replicas that are no longer listed are dropped, and loads whose
    /// weights the list shows are finished.
    pub fn set_replicas<'a>(&mut self, replicas: impl Iterator<Item = &'a Replica>, now: Duration) {
        self.fleet.set_replicas(replicas);
        self.loads.retain(|id, _| self.fleet.contains(id));
        let is_loaded = |(id, load): &(&String, &Load)| self.fleet.has_weights(id, &load.weights);
        let loaded: Vec<String> = self.loads.iter().filter(is_loaded).map(|(id, _)| id.clone()).collect();
        for id in loaded {
            self.finish_load(&id, now);
        }
    }

    /// Replaces the amounts of work queued at replicas, by replica id. Each request counts as at least one unit.
    pub fn set_queued_work(&mut self, queued_work: BTreeMap<String, u32>) {
        self.fleet.set_queued_work(queued_work);
    }

    /// Records how a load command ended.
    pub fn record_outcome(&mut self, replica: &str, outcome: CommandOutcome, now: Duration) {
        let Some(load) = self.loads.get_mut(replica) else { return };
        match outcome {
            CommandOutcome::Accepted => {
                load.accepted_at = Some(now);
                load.next_step = NextStep::ReportAt(now + REPORT_INTERVAL);
            }
            CommandOutcome::AlreadyLoaded => {
                let weights = load.weights.clone();
                self.fleet.observe(replica, weights);
                self.finish_load(replica, now);
            }
            // The replica's report will show whether it loads these weights.
            CommandOutcome::Busy | CommandOutcome::Unanswered => {
                load.next_step = NextStep::ReportAt(now + REPORT_LAG);
            }
            CommandOutcome::Refused => self.back_off(replica, now),
            CommandOutcome::WrongReplica => {
                self.loads.remove(replica);
                // No call is made to this address until the list shows which replica has it.
                self.fleet.remove(replica);
            }
            CommandOutcome::Fenced => self.is_fenced = true,
        }
    }

    /// Ends a load whose command was refused. The replica serves requests during the backoff.
    fn back_off(&mut self, replica: &str, now: Duration) {
        let Some(load) = self.loads.remove(replica) else { return };
        let model = load.weights.model;
        let is_withdrawn = self.fleet.has_older_weights(replica, &model, self.targets[&model].minimum);
        let backoff = if is_withdrawn { URGENT_COMMAND_BACKOFF } else { COMMAND_BACKOFF };
        self.backoffs.insert(replica.to_owned(), now + backoff);
    }

    /// Records a replica's report, or `None` if the call for it failed.
    pub fn record_report(&mut self, replica: &str, report: Option<&ReplicaReport>, now: Duration) {
        let Some(load) = self.loads.get_mut(replica) else { return };
        let Some(report) = report else {
            load.next_step = NextStep::ReportAt(now + REPORT_LAG);
            return;
        };
        if !report.is_loading && report.has_weights(&load.weights) {
            for weights in &report.models {
                self.fleet.observe(replica, weights.clone());
            }
            self.finish_load(replica, now);
            return;
        }
        // A report can show the state before the command was accepted.
        let may_predate_command = now < load.accepted_at.unwrap_or(load.started_at) + REPORT_LAG;
        if report.is_loading || may_predate_command {
            load.next_step = NextStep::ReportAt(now + REPORT_INTERVAL);
        } else if now < self.commands_from {
            // The replica serves requests until commands may be sent.
            self.loads.remove(replica);
        } else {
            load.next_step = NextStep::CommandAt(now);
        }
    }

    fn finish_load(&mut self, replica: &str, now: Duration) {
        let Some(load) = self.loads.remove(replica) else { return };
        if load.accepted_at.is_some() {
            self.load_time.record(now.saturating_sub(load.started_at));
        }
    }

    /// Withdraws revisions and starts loads that are due at `now`, and returns the calls to make.
    pub fn step(&mut self, now: Duration) -> Vec<Action> {
        self.withdraw(now);
        if self.is_fenced {
            return Vec::new();
        }
        if now >= self.commands_from {
            self.backoffs.retain(|_, until| *until > now);
            self.start_loads(now);
        }
        let is_due = |(_, load): &(&String, &Load)| load.is_due(now, self.commands_from);
        let due: Vec<String> = self.loads.iter().filter(is_due).map(|(id, _)| id.clone()).collect();
        due.iter().filter_map(|id| self.advance_load(id, now)).collect()
    }

    /// Withdraws the revisions of each model that are older than one whose withdrawal deadline has passed, and those
    /// older than the target if all replicas have loaded it.
    fn withdraw(&mut self, now: Duration) {
        for (model, target) in &mut self.targets {
            let is_rollout_complete = self.fleet.is_rollout_complete(model, target.revision);
            target.expire_due(now);
            if is_rollout_complete {
                target.withdraw_below(target.revision);
            }
        }
    }

    fn start_loads(&mut self, now: Duration) {
        let models: Vec<String> = self.targets.keys().cloned().collect();
        for model in models {
            let target = &self.targets[&model];
            let weights = ModelRevision { model: model.clone(), revision: target.revision };
            for replica in self.select_next(&model, target, now) {
                let load = Load::start(weights.clone(), now, now + DRAIN_PROPAGATION_TIME);
                self.loads.insert(replica, load);
            }
        }
    }

    fn select_next(&self, model: &str, target: &Target, now: Duration) -> Vec<String> {
        let in_progress = self.loads.values().map(|load| now.saturating_sub(load.started_at));
        let load_time = self.load_time.get(in_progress);
        let (fleet, loads, backoffs) = (&self.fleet, &self.loads, &self.backoffs);
        Selection { model, target, fleet, loads, backoffs, load_time, now }.select()
    }

    /// Performs the step of a load that is due.
    fn advance_load(&mut self, id: &str, now: Duration) -> Option<Action> {
        let replica = self.fleet.endpoint(id)?;
        let has_queue = self.fleet.queued_work(id) > 0;
        let load = self.loads.get_mut(id)?;
        let target = &self.targets[&load.weights.model];
        match load.next_step {
            NextStep::CommandAt(_) if has_queue && may_wait_for_queue(load, target, now) => {
                load.next_step = NextStep::CommandAt(now + QUEUE_CHECK_INTERVAL);
                None
            }
            NextStep::CommandAt(_) => {
                load.next_step = NextStep::AwaitOutcome;
                // A newer revision may have been announced after the load started.
                load.weights.revision = load.weights.revision.max(target.revision);
                Some(Action::SendCommand { replica, weights: load.weights.clone() })
            }
            NextStep::ReportAt(_) => {
                load.next_step = NextStep::AwaitReport;
                Some(Action::FetchReport { replica })
            }
            NextStep::AwaitOutcome | NextStep::AwaitReport => None,
        }
    }

    /// The time at which a step is due next, or `None` if nothing is due before the next event.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Duration> {
        let deadlines = self.targets.values().flat_map(Target::deadlines);
        let withdrawals = deadlines.map(|deadline| deadline.withdraw_at);
        let loads = self.loads.values().filter_map(|load| load.due_at(self.commands_from));
        let starts = self.next_start().map(|at| at.max(self.commands_from));
        withdrawals.chain(loads.chain(starts).filter(|_| !self.is_fenced)).min()
    }

    /// When the next load may start, if no load is in progress and some replicas lack their target.
    fn next_start(&self) -> Option<Duration> {
        let lacks_target = |(model, target): (&String, &Target)| {
            self.fleet.lacking_revision(model, target.revision).next().is_some()
        };
        if !self.loads.is_empty() || !self.targets.iter().any(lacks_target) {
            return None;
        }
        Some(self.backoffs.values().copied().min().unwrap_or(self.commands_from))
    }

    /// Whether a replica has refused this primary's fencing token because another member has become primary.
    #[must_use]
    pub fn is_fenced(&self) -> bool {
        self.is_fenced
    }

    /// Ids of the replicas, including draining ones, whose weights of a model are older than `revision`.
    #[must_use]
    pub fn outdated_replicas(&self, model: &str, revision: WeightsRevision) -> Vec<String> {
        self.fleet.with_older_weights(model, revision).map(|replica| replica.id.clone()).collect()
    }

    /// The corrections to the discovered replica list that the delivered table contains.
    #[must_use]
    pub fn corrections(&self) -> Corrections {
        let loading = self.loads.keys().cloned().collect();
        Corrections { loading, revisions: self.fleet.observed().clone() }
    }

    /// The table of weights to deliver, ordered by model.
    #[must_use]
    pub fn weights(&self) -> Vec<ModelWeights> {
        self.targets.iter().map(|(model, target)| target.to_model_weights(model)).collect()
    }
}

/// Whether the command of a load may be delayed until the replica's queue is empty: not if all revisions older than
/// the one to load are withdrawn.
fn may_wait_for_queue(load: &Load, target: &Target, now: Duration) -> bool {
    now < load.started_at + MAX_QUEUE_DRAIN_TIME && load.weights.revision > target.minimum
}
