//! Actions, and the bounds within which all of them are explored.

use super::cluster::Cluster;
use super::requests::RequestId;

/// One step of a history.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Action {
    /// Delivers the oldest message, or any message with [`Schedule::Any`].
    Deliver(usize),
    /// Delivers a message and leaves a duplicate for later delivery.
    Duplicate(usize),
    /// Delays the oldest message: it is delivered at any later moment, or never.
    Delay,
    /// Delivers a delayed message.
    DeliverDelayed(usize),
    /// Syncs the oldest pending batch of a member.
    Sync(usize),
    /// From now on, the batches of a member are synced only by an explicit [`Action::Sync`].
    SlowDisk(usize),
    /// Advances time to the next timer and fires it.
    Advance,
    /// Advances time by [`Bounds::wait`] without any other event.
    Wait,
    /// A process crashes or loses power; the first `kept` unsynced records are on the disk.
    Crash { member: usize, kept: usize, down_for: u64 },
    /// All machines lose power at once, and with it all unsynced records.
    PowerCut,
    /// A disk is lost; the member returns with an empty one, under a new generation.
    Wipe { member: usize, down_for: u64 },
    /// A member handles no input for `span`; its clock runs on.
    Pause { member: usize, span: u64 },
    /// Cuts the links at this index of [`Bounds::cuts`].
    Cut(usize),
    /// Restores all links.
    Heal,
    /// Submits a new request to a primary.
    Propose(usize),
    /// Submits an earlier request again.
    Repeat { member: usize, request: RequestId },
    /// Sends the shutdown signal to a process.
    Shutdown(usize),
}

/// The order of events that take no time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Schedule {
    /// Any message, sync or timer may come next. Messages may stay in transit forever, so loss and
    /// delay cost no budget. For short histories.
    Any,
    /// A deterministic order: syncs first, then messages in the order of sending, then the next timer.
    /// Every deviation costs budget. For long histories.
    Default,
}

/// The number of further actions of each kind that a history may contain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Budget {
    /// Limit on the sum over all kinds.
    pub total: u8,
    /// [`Action::Delay`].
    pub delays: u8,
    /// [`Action::Duplicate`].
    pub duplicates: u8,
    /// [`Action::SlowDisk`].
    pub slow_disks: u8,
    /// [`Action::Crash`].
    pub crashes: u8,
    /// [`Action::PowerCut`].
    pub power_cuts: u8,
    /// [`Action::Wipe`].
    pub wipes: u8,
    /// [`Action::Pause`].
    pub pauses: u8,
    /// [`Action::Cut`].
    pub cuts: u8,
    /// [`Action::Heal`].
    pub heals: u8,
    /// [`Action::Propose`].
    pub proposals: u8,
    /// [`Action::Repeat`].
    pub repeats: u8,
    /// [`Action::Shutdown`].
    pub shutdowns: u8,
}

impl Budget {
    /// Up to `total` actions, of any kinds.
    pub(crate) fn any(total: u8) -> Budget {
        Budget {
            total,
            delays: total,
            duplicates: total,
            slow_disks: total,
            crashes: total,
            power_cuts: total,
            wipes: total,
            pauses: total,
            cuts: total,
            heals: total,
            proposals: total,
            repeats: total,
            shutdowns: total,
        }
    }

    fn counter(&mut self, action: &Action) -> Option<&mut u8> {
        match action {
            Action::Deliver(_)
            | Action::DeliverDelayed(_)
            | Action::Sync(_)
            | Action::Advance
            | Action::Wait => None,
            Action::Delay => Some(&mut self.delays),
            Action::Duplicate(_) => Some(&mut self.duplicates),
            Action::SlowDisk(_) => Some(&mut self.slow_disks),
            Action::Crash { .. } => Some(&mut self.crashes),
            Action::PowerCut => Some(&mut self.power_cuts),
            Action::Wipe { .. } => Some(&mut self.wipes),
            Action::Pause { .. } => Some(&mut self.pauses),
            Action::Cut(_) => Some(&mut self.cuts),
            Action::Heal => Some(&mut self.heals),
            Action::Propose(_) => Some(&mut self.proposals),
            Action::Repeat { .. } => Some(&mut self.repeats),
            Action::Shutdown(_) => Some(&mut self.shutdowns),
        }
    }

    /// Whether the action is within the budget.
    pub(crate) fn allows(mut self, action: &Action) -> bool {
        let total = self.total;
        self.counter(action).is_none_or(|counter| *counter > 0 && total > 0)
    }

    /// Subtracts the cost of an action.
    pub(crate) fn spend(&mut self, action: &Action) {
        if let Some(counter) = self.counter(action) {
            *counter = counter.saturating_sub(1);
            self.total = self.total.saturating_sub(1);
        }
    }
}

/// Links, as pairs of sender and receiver.
pub(crate) type Links = Vec<(usize, usize)>;

/// Limits of the explored histories.
#[derive(Clone, Debug)]
pub(crate) struct Bounds {
    /// The order of events that take no time.
    pub schedule: Schedule,
    /// Deviations that a history may contain.
    pub budget: Budget,
    /// True time in microseconds, from the initial state, at which histories end.
    pub span: u64,
    /// Maximum number of actions in a history.
    pub depth: usize,
    /// Durations for which crashed or wiped members stay down.
    pub down_for: Vec<u64>,
    /// Durations of pauses.
    pub pauses: Vec<u64>,
    /// While messages are delayed, time may advance in steps of this length, so that they are also delivered
    /// between timers.
    pub wait: Option<u64>,
    /// Sets of links that are cut together.
    pub cuts: Vec<Links>,
    /// Members that may crash, lose their disk, pause or be asked to terminate.
    pub faulty: Vec<usize>,
}

/// Isolates each member: in both directions, and in either direction alone.
pub(crate) fn isolations(members: usize) -> Vec<Links> {
    let others = |member: usize| (0..members).filter(move |other| *other != member);
    let mut cuts = Vec::new();
    for member in 0..members {
        let incoming: Links = others(member).map(|other| (other, member)).collect();
        let outgoing: Links = others(member).map(|other| (member, other)).collect();
        cuts.push([incoming.clone(), outgoing.clone()].concat());
        cuts.push(incoming);
        cuts.push(outgoing);
    }
    cuts
}

/// Cuts the link between each pair of members in both directions.
pub(crate) fn pairs(members: usize) -> Vec<Links> {
    let pairs = (0..members).flat_map(|first| (first + 1..members).map(move |second| (first, second)));
    pairs.map(|(first, second)| vec![(first, second), (second, first)]).collect()
}

/// Cuts all links between the members of one side and all others.
pub(crate) fn split(members: usize, side: &[usize]) -> Links {
    let all = (0..members).flat_map(|from| (0..members).map(move |to| (from, to)));
    all.filter(|(from, to)| side.contains(from) != side.contains(to)).collect()
}

/// All actions that are enabled in a state within the bounds; the default one comes first.
pub(crate) fn possible(cluster: &Cluster, bounds: &Bounds) -> Vec<Action> {
    let mut actions = match bounds.schedule {
        Schedule::Default => default_steps(cluster, bounds),
        Schedule::Any => any_steps(cluster),
    };
    actions.extend((0..cluster.delayed.len()).map(Action::DeliverDelayed));
    for member in 0..cluster.members.len() {
        actions.extend(slow_syncs(cluster, member));
        if cluster.explores_faults_of(member) {
            actions.extend(member_faults(cluster, bounds, member));
            actions.extend(requests(cluster, member));
        }
    }
    if cluster.explores_cluster_faults() {
        actions.push(Action::PowerCut);
        actions.extend((0..bounds.cuts.len()).map(Action::Cut));
        if !cluster.cut_links.is_empty() {
            actions.push(Action::Heal);
        }
    }
    actions.retain(|action| cluster.budget.allows(action));
    actions
}

fn default_steps(cluster: &Cluster, bounds: &Bounds) -> Vec<Action> {
    let syncing = cluster
        .members
        .iter()
        .position(|member| member.is_running() && !member.disk.is_slow && !member.disk.pending.is_empty());
    if let Some(member) = syncing {
        return vec![Action::Sync(member), Action::SlowDisk(member)];
    }
    if !cluster.network.is_empty() {
        return vec![Action::Deliver(0), Action::Delay, Action::Duplicate(0)];
    }
    let may_wait = bounds.wait.is_some_and(|wait| {
        !cluster.delayed.is_empty() && cluster.next_due().is_some_and(|(due, _)| due > cluster.now + wait)
    });
    if may_wait { vec![Action::Advance, Action::Wait] } else { vec![Action::Advance] }
}

fn any_steps(cluster: &Cluster) -> Vec<Action> {
    let mut actions = Vec::new();
    for (index, member) in cluster.members.iter().enumerate() {
        if member.is_running() && !member.disk.pending.is_empty() {
            actions.push(Action::Sync(index));
        }
    }
    for index in 0..cluster.network.len() {
        let is_repeated =
            index > 0 && cluster.network[index - 1].fingerprint == cluster.network[index].fingerprint;
        if !is_repeated {
            actions.push(Action::Deliver(index));
            actions.push(Action::Duplicate(index));
        }
    }
    actions.push(Action::Advance);
    actions
}

fn slow_syncs(cluster: &Cluster, member: usize) -> Option<Action> {
    let machine = &cluster.members[member];
    let is_waiting = machine.is_running() && machine.disk.is_slow && !machine.disk.pending.is_empty();
    is_waiting.then_some(Action::Sync(member))
}

fn member_faults(cluster: &Cluster, bounds: &Bounds, member: usize) -> Vec<Action> {
    let machine = &cluster.members[member];
    let mut actions = Vec::new();
    if machine.process.is_none() || !bounds.faulty.contains(&member) {
        return actions;
    }
    for down_for in bounds.down_for.iter().copied() {
        let kept = 0..=machine.disk.unsynced();
        actions.extend(kept.map(|kept| Action::Crash { member, kept, down_for }));
        actions.push(Action::Wipe { member, down_for });
    }
    if machine.is_running() {
        actions.extend(bounds.pauses.iter().map(|span| Action::Pause { member, span: *span }));
        actions.push(Action::Shutdown(member));
    }
    actions
}

fn requests(cluster: &Cluster, member: usize) -> Vec<Action> {
    if !cluster.acts_as_primary(member) || !cluster.members[member].is_running() {
        return Vec::new();
    }
    let mut requested = cluster.history.requested.clone();
    requested.sort_unstable();
    requested.dedup();
    let repeats = requested.into_iter().map(|request| Action::Repeat { member, request });
    std::iter::once(Action::Propose(member)).chain(repeats).collect()
}
