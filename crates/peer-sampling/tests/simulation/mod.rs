//! A network of views in virtual time: ticks with jitter, datagrams with delay and losses.

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

use fastrand::Rng;
use tulipridge_peer_sampling::datagram;
use tulipridge_peer_sampling::view::View;
use tulipridge_protocol::node::{Generation, NodeId};
use tulipridge_protocol::peer_sampling::{Entry, Role, Shuffle};

/// Virtual time between ticks.
pub(crate) const TICK_MS: u64 = 1000;
const MAX_DELAY_MS: u64 = 80;
const SEEDS: usize = 3;
const ZONES: usize = 4;

/// How many processes there are.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Size {
    pub control: usize,
    pub agents: usize,
}

impl Size {
    pub(crate) fn total(&self) -> usize {
        self.control + self.agents
    }
}

enum Event {
    Tick { index: usize, generation: u64 },
    Datagram { from: usize, to: usize, message: Shuffle },
}

pub(crate) struct Network {
    size: Size,
    loss: f64,
    now: u64,
    random: Rng,
    /// By their time, and in the order in which they were scheduled.
    events: BTreeMap<(u64, u64), Event>,
    scheduled: u64,
    generations: Vec<u64>,
    views: Vec<Option<View>>,
    is_partitioned: bool,
    measures: bool,
    pub datagrams: u64,
    pub longest_datagram: usize,
}

impl Network {
    pub(crate) fn new(size: Size, loss: f64, seed: u64) -> Self {
        Network {
            size,
            loss,
            now: 0,
            random: Rng::with_seed(seed),
            events: BTreeMap::new(),
            scheduled: 0,
            generations: vec![0; size.total()],
            views: vec![None; size.total()],
            is_partitioned: false,
            measures: false,
            datagrams: 0,
            longest_datagram: 0,
        }
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.now
    }

    pub(crate) fn start_all(&mut self) {
        (0..self.size.total()).for_each(|index| self.start(index));
    }

    /// Starts a process anew, with an empty view.
    pub(crate) fn start(&mut self, index: usize) {
        self.generations[index] = self.random.u64(1..);
        let generation = self.generations[index];
        let role = if index < self.size.control { Role::Control } else { Role::Agent };
        let zone = format!("zone-{}", index % ZONES);
        let me = Entry { id: NodeId::new(address(index), Generation(generation)), role, zone, age: 0 };
        let seeds = (0..SEEDS).map(address).collect();
        self.views[index] = Some(View::new(me, seeds, self.random.u64(..)));
        let start = self.random.u64(..300);
        self.schedule(start, Event::Tick { index, generation });
    }

    pub(crate) fn kill(&mut self, index: usize) {
        self.views[index] = None;
    }

    /// Kills some processes that are no seeds.
    pub(crate) fn kill_random(&mut self, count: usize) -> Vec<usize> {
        let mut live: Vec<usize> = self.live().into_iter().filter(|index| *index >= SEEDS).collect();
        self.random.shuffle(&mut live);
        live.truncate(count);
        live.iter().for_each(|index| self.kill(*index));
        live
    }

    pub(crate) fn seeds_and_others(&self) -> (Vec<usize>, Vec<usize>) {
        (0..self.size.total()).partition(|index| *index < SEEDS)
    }

    /// Nothing passes between processes with an even number and those with an odd one.
    pub(crate) fn partition_in_halves(&mut self) {
        self.is_partitioned = true;
    }

    pub(crate) fn heal(&mut self) {
        self.is_partitioned = false;
    }

    /// Counts and measures datagrams from now on.
    pub(crate) fn measure_traffic(&mut self) {
        self.measures = true;
    }

    /// Runs for so many ticks.
    pub(crate) fn run(&mut self, ticks: u64) {
        let end = self.now + ticks * TICK_MS;
        while let Some(next) = self.events.first_entry().filter(|next| next.key().0 <= end) {
            let ((at, _), event) = next.remove_entry();
            self.now = at;
            match event {
                Event::Tick { index, generation } => self.tick(index, generation),
                Event::Datagram { from, to, message } => self.deliver(from, to, message),
            }
        }
        self.now = end;
    }

    /// Whether all live processes are reached from the first one, where an entry counts in both directions.
    pub(crate) fn is_connected(&self) -> bool {
        let live = self.live();
        let mut neighbours = vec![Vec::new(); self.size.total()];
        for &index in &live {
            for known in self.known_live(index) {
                neighbours[index].push(known);
                neighbours[known].push(index);
            }
        }
        let mut reached = BTreeSet::from([live[0]]);
        let mut front = vec![live[0]];
        while let Some(index) = front.pop() {
            let fresh = neighbours[index].iter().filter(|next| reached.insert(**next));
            front.extend(fresh);
        }
        reached.len() == live.len()
    }

    pub(crate) fn processes_without_control(&self) -> usize {
        self.views.iter().flatten().filter(|view| view.control_nodes().is_empty()).count()
    }

    pub(crate) fn view_sizes(&self) -> impl Iterator<Item = usize> {
        self.views.iter().flatten().map(|view| view.entries().len())
    }

    /// In how many views each live process of a role is.
    pub(crate) fn in_degrees(&self, role: Role) -> Vec<usize> {
        let mut degrees = vec![0; self.size.total()];
        for index in self.live() {
            self.known_live(index).for_each(|known| degrees[known] += 1);
        }
        let of_role =
            |index: &usize| self.views[*index].as_ref().is_some_and(|view| view.own_entry().role == role);
        self.live().into_iter().filter(of_role).map(|index| degrees[index]).collect()
    }

    /// Entries of these processes in the views of live ones.
    pub(crate) fn entries_of(&self, indices: &[usize]) -> usize {
        let entries = self.views.iter().flatten().flat_map(View::entries);
        entries.filter(|entry| indices.contains(&index_of(entry))).count()
    }

    /// Entries in the views of live processes that tell of a process before its restart.
    pub(crate) fn entries_of_earlier_generations(&self) -> usize {
        let entries = self.views.iter().flatten().flat_map(View::entries);
        entries.filter(|entry| entry.id.generation != Generation(self.generations[index_of(entry)])).count()
    }

    fn live(&self) -> Vec<usize> {
        (0..self.size.total()).filter(|index| self.views[*index].is_some()).collect()
    }

    fn known_live(&self, index: usize) -> impl Iterator<Item = usize> {
        let entries = self.views[index].iter().flat_map(View::entries);
        entries.map(index_of).filter(|known| self.views[*known].is_some())
    }

    fn tick(&mut self, index: usize, generation: u64) {
        if self.generations[index] != generation {
            return;
        }
        let Some(view) = self.views[index].as_mut() else { return };
        if let Some(request) = view.tick() {
            self.send(index, index_at(request.to), request.message);
        }
        let jitter = self.random.u64(..=TICK_MS / 5);
        self.schedule(TICK_MS * 9 / 10 + jitter, Event::Tick { index, generation });
    }

    fn deliver(&mut self, from: usize, to: usize, message: Shuffle) {
        let Some(view) = self.views[to].as_mut() else { return };
        if let Some(reply) = view.handle(address(from), message) {
            self.send(to, from, reply);
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Shuffle) {
        if self.measures {
            let bytes = datagram::encode(&message).expect("a short message");
            assert_eq!(datagram::decode(&bytes), Some(message.clone()));
            self.datagrams += 1;
            self.longest_datagram = self.longest_datagram.max(bytes.len());
        }
        let is_blocked = self.is_partitioned && from % 2 != to % 2;
        if is_blocked || self.random.f64() < self.loss {
            return;
        }
        let delay = self.random.u64(1..=MAX_DELAY_MS);
        self.schedule(delay, Event::Datagram { from, to, message });
    }

    fn schedule(&mut self, after_ms: u64, event: Event) {
        self.scheduled += 1;
        self.events.insert((self.now + after_ms, self.scheduled), event);
    }
}

fn address(index: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 1, (index / 200) as u8, (index % 200 + 1) as u8)
}

fn index_at(address: Ipv4Addr) -> usize {
    let [_, _, high, low] = address.octets();
    usize::from(high) * 200 + usize::from(low) - 1
}

fn index_of(entry: &Entry) -> usize {
    index_at(entry.id.address())
}
