//! Actions, and the bounds within which all of them are tried.

use super::orders::Order;
use super::world::World;

/// One step of a history.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Action {
    /// The oldest message (or with [`Ordering::Any`] any message) arrives.
    Deliver(usize),
    /// A message arrives, and the same again later.
    Duplicate(usize),
    /// The oldest message is held up: it arrives at any later moment, or never.
    Delay,
    /// A message that was held up arrives.
    DeliverDelayed(usize),
    /// The oldest unsynced batch of a member reaches the disk.
    Sync(usize),
    /// A member's batches wait from now on until their sync is chosen.
    SlowDisk(usize),
    /// Time goes on to the next timer, which is handled.
    Advance,
    /// Time goes on by [`Bounds::wait`], and nothing happens.
    Wait,
    /// A process or its power is gone; the first `kept` unsynced records are on the disk.
    Crash { member: usize, kept: usize, down_for: u64 },
    /// Power is lost everywhere at once, and all that is unsynced with it.
    PowerCut,
    /// A disk is lost; the member comes back as a newcomer.
    Wipe { member: usize, down_for: u64 },
    /// A member handles nothing for a while; its clock goes on.
    Pause { member: usize, span: u64 },
    /// Links are cut: an index into [`Bounds::cuts`].
    Cut(usize),
    /// All links work again.
    Heal,
    /// A new order is given to a primary.
    Propose(usize),
    /// An order that was given before is repeated at a primary.
    Repeat { member: usize, order: Order },
    /// A process is told to end.
    Terminate(usize),
}

/// In which order things happen that take no time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ordering {
    /// Any order: each message, sync and timer may come next, and messages may stay on their way for ever,
    /// so loss and lateness cost nothing. For short histories.
    Any,
    /// Syncs first, then messages in the order of their sending, then the next timer; everything else costs
    /// a part of the budget. For long histories.
    Usual,
}

/// How many more actions of each kind a history may have.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Budget {
    /// All kinds together.
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
    /// [`Action::Terminate`].
    pub terminations: u8,
}

impl Budget {
    /// Actions of any kinds, and of some in all.
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
            terminations: total,
        }
    }

    fn part(&mut self, action: &Action) -> Option<&mut u8> {
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
            Action::Terminate(_) => Some(&mut self.terminations),
        }
    }

    /// Whether the action is within the budget.
    pub(crate) fn allows(mut self, action: &Action) -> bool {
        let total = self.total;
        self.part(action).is_none_or(|part| *part > 0 && total > 0)
    }

    /// Takes the action's cost off.
    pub(crate) fn spend(&mut self, action: &Action) {
        if let Some(part) = self.part(action) {
            *part = part.saturating_sub(1);
            self.total = self.total.saturating_sub(1);
        }
    }
}

/// Links, as pairs of sender and receiver.
pub(crate) type Links = Vec<(usize, usize)>;

/// What bounds the histories that are tried.
#[derive(Clone, Debug)]
pub(crate) struct Bounds {
    /// The order of things that take no time.
    pub ordering: Ordering,
    /// Actions that cost something.
    pub budget: Budget,
    /// True time in microseconds, from the start, at which histories end.
    pub span: u64,
    /// Longest history, in actions.
    pub depth: usize,
    /// For how long processes that crash or lose their disk stay away.
    pub down_for: Vec<u64>,
    /// For how long members pause.
    pub pauses: Vec<u64>,
    /// While messages are held up, time may go on in steps of this, so that they arrive between timers too.
    pub wait: Option<u64>,
    /// Sets of links that may be cut together.
    pub cuts: Vec<Links>,
    /// Members that crash, lose their disk, pause or are told to end.
    pub faulty: Vec<usize>,
}

/// Each member cut off: both ways, and in either direction alone.
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

/// The link between each two members cut both ways.
pub(crate) fn pairs(members: usize) -> Vec<Links> {
    let pairs = (0..members).flat_map(|first| (first + 1..members).map(move |second| (first, second)));
    pairs.map(|(first, second)| vec![(first, second), (second, first)]).collect()
}

/// The members of one side cut from all others.
pub(crate) fn split(members: usize, side: &[usize]) -> Links {
    let all = (0..members).flat_map(|from| (0..members).map(move |to| (from, to)));
    all.filter(|(from, to)| side.contains(from) != side.contains(to)).collect()
}

/// All actions that are possible in a state within the bounds; the usual one comes first.
pub(crate) fn possible(world: &World, bounds: &Bounds) -> Vec<Action> {
    let mut actions = match bounds.ordering {
        Ordering::Usual => usual_step(world, bounds),
        Ordering::Any => any_steps(world),
    };
    actions.extend((0..world.delayed.len()).map(Action::DeliverDelayed));
    for member in 0..world.members.len() {
        actions.extend(slow_syncs(world, member));
        if world.is_fresh(member) {
            actions.extend(member_faults(world, bounds, member));
            actions.extend(orders(world, member));
        }
    }
    if world.is_all_fresh() {
        actions.push(Action::PowerCut);
        actions.extend((0..bounds.cuts.len()).map(Action::Cut));
        if !world.cut_links.is_empty() {
            actions.push(Action::Heal);
        }
    }
    actions.retain(|action| world.budget.allows(action));
    actions
}

fn usual_step(world: &World, bounds: &Bounds) -> Vec<Action> {
    let syncing = world
        .members
        .iter()
        .position(|member| member.is_running() && !member.disk.is_slow && !member.disk.pending.is_empty());
    if let Some(member) = syncing {
        return vec![Action::Sync(member), Action::SlowDisk(member)];
    }
    if !world.network.is_empty() {
        return vec![Action::Deliver(0), Action::Delay, Action::Duplicate(0)];
    }
    let may_wait = bounds.wait.is_some_and(|wait| {
        !world.delayed.is_empty() && world.next_due().is_some_and(|(due, _)| due > world.now + wait)
    });
    if may_wait { vec![Action::Advance, Action::Wait] } else { vec![Action::Advance] }
}

fn any_steps(world: &World) -> Vec<Action> {
    let mut actions = Vec::new();
    for (index, member) in world.members.iter().enumerate() {
        if member.is_running() && !member.disk.pending.is_empty() {
            actions.push(Action::Sync(index));
        }
    }
    for index in 0..world.network.len() {
        let is_repeated =
            index > 0 && world.network[index - 1].fingerprint == world.network[index].fingerprint;
        if !is_repeated {
            actions.push(Action::Deliver(index));
            actions.push(Action::Duplicate(index));
        }
    }
    actions.push(Action::Advance);
    actions
}

fn slow_syncs(world: &World, member: usize) -> Option<Action> {
    let machine = &world.members[member];
    let is_waiting = machine.is_running() && machine.disk.is_slow && !machine.disk.pending.is_empty();
    is_waiting.then_some(Action::Sync(member))
}

fn member_faults(world: &World, bounds: &Bounds, member: usize) -> Vec<Action> {
    let machine = &world.members[member];
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
        actions.push(Action::Terminate(member));
    }
    actions
}

fn orders(world: &World, member: usize) -> Vec<Action> {
    if !world.may_answer(member) || !world.members[member].is_running() {
        return Vec::new();
    }
    let mut asked = world.history.asked.clone();
    asked.sort_unstable();
    asked.dedup();
    let repeats = asked.into_iter().map(|order| Action::Repeat { member, order });
    std::iter::once(Action::Propose(member)).chain(repeats).collect()
}
