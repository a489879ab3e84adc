//! A simulated network of views in virtual time: ticks have jitter, and datagrams are delayed or lost.

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

use fastrand::Rng;
use tulipridge_peer_sampling::datagram;
use tulipridge_peer_sampling::view::View;
use tulipridge_protocol::node::{Generation, NodeId};
use tulipridge_protocol::peer_sampling::{Entry, Role, Shuffle};

/// Mean virtual time between ticks.
pub(crate) const TICK_MS: u64 = 1000;
const MAX_DATAGRAM_DELAY_MS: u64 = 80;
const MAX_START_DELAY_MS: u64 = 300;
/// The processes with the lowest indices are the seeds.
const SEEDS: usize = 3;
const ZONES: usize = 4;
const HOSTS_PER_SUBNET: usize = 200;

/// The number of processes of each role.
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
    now_ms: u64,
    random: Rng,
    /// Keyed by time in ms, then by the order in which the events were scheduled.
    events: BTreeMap<(u64, u64), Event>,
    scheduled_count: u64,
    generations: Vec<u64>,
    views: Vec<Option<View>>,
    is_partitioned: bool,
    is_measuring_traffic: bool,
    pub datagram_count: u64,
    pub longest_datagram_bytes: usize,
}

impl Network {
    pub(crate) fn new(size: Size, loss: f64, seed: u64) -> Self {
        Network {
            size,
            loss,
            now_ms: 0,
            random: Rng::with_seed(seed),
            events: BTreeMap::new(),
            scheduled_count: 0,
            generations: vec![0; size.total()],
            views: vec![None; size.total()],
            is_partitioned: false,
            is_measuring_traffic: false,
            datagram_count: 0,
            longest_datagram_bytes: 0,
        }
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.now_ms
    }

    pub(crate) fn start_all(&mut self) {
        (0..self.size.total()).for_each(|index| self.start(index));
    }

    /// Starts or restarts a process, with an empty view and another generation.
    pub(crate) fn start(&mut self, index: usize) {
        self.generations[index] = self.random.u64(1..);
        let generation = self.generations[index];
        let role = if index < self.size.control { Role::Control } else { Role::Agent };
        let zone = format!("zone-{}", index % ZONES);
        let own_entry =
            Entry { id: NodeId::new(address(index), Generation(generation)), role, zone, age: 0 };
        let seeds = (0..SEEDS).map(address).collect();
        self.views[index] = Some(View::new(own_entry, seeds, self.random.u64(..)));
        let delay = self.random.u64(..MAX_START_DELAY_MS);
        self.schedule(delay, Event::Tick { index, generation });
    }

    pub(crate) fn kill(&mut self, index: usize) {
        self.views[index] = None;
    }

    /// Kills up to `count` random live processes other than seeds, and returns their indices.
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

    /// Drops all datagrams between processes with an even index and those with an odd one.
    pub(crate) fn partition_in_halves(&mut self) {
        self.is_partitioned = true;
    }

    pub(crate) fn heal(&mut self) {
        self.is_partitioned = false;
    }

    /// Starts to count datagrams and to record the size of the longest one.
    pub(crate) fn measure_traffic(&mut self) {
        self.is_measuring_traffic = true;
    }

    /// Advances virtual time by a number of ticks.
    pub(crate) fn run(&mut self, ticks: u64) {
        let end = self.now_ms + ticks * TICK_MS;
        while let Some(next) = self.events.first_entry().filter(|next| next.key().0 <= end) {
            let ((at, _), event) = next.remove_entry();
            self.now_ms = at;
            match event {
                Event::Tick { index, generation } => self.tick(index, generation),
                Event::Datagram { from, to, message } => self.deliver(from, to, message),
            }
        }
        self.now_ms = end;
    }

    /// Whether the graph of live processes is connected, with entries as undirected edges.
    pub(crate) fn is_connected(&self) -> bool {
        let live = self.live();
        let mut neighbors = vec![Vec::new(); self.size.total()];
        for &index in &live {
            for known in self.known_live(index) {
                neighbors[index].push(known);
                neighbors[known].push(index);
            }
        }
        let mut reached = BTreeSet::from([live[0]]);
        let mut frontier = vec![live[0]];
        while let Some(index) = frontier.pop() {
            let newly_reached = neighbors[index].iter().filter(|next| reached.insert(**next));
            frontier.extend(newly_reached);
        }
        reached.len() == live.len()
    }

    pub(crate) fn processes_without_control_member(&self) -> usize {
        self.views.iter().flatten().filter(|view| view.control_nodes().is_empty()).count()
    }

    pub(crate) fn view_sizes(&self) -> impl Iterator<Item = usize> {
        self.views.iter().flatten().map(|view| view.entries().len())
    }

    /// For each live process of a role, the number of views of live processes that contain it.
    pub(crate) fn in_degrees(&self, role: Role) -> Vec<usize> {
        let mut degrees = vec![0; self.size.total()];
        for index in self.live() {
            self.known_live(index).for_each(|known| degrees[known] += 1);
        }
        let of_role =
            |index: &usize| self.views[*index].as_ref().is_some_and(|view| view.own_entry().role == role);
        self.live().into_iter().filter(of_role).map(|index| degrees[index]).collect()
    }

    /// The number of entries of these processes in the views of live ones.
    pub(crate) fn entries_of(&self, indices: &[usize]) -> usize {
        let entries = self.views.iter().flatten().flat_map(View::entries);
        entries.filter(|entry| indices.contains(&index_of(entry))).count()
    }

    /// The number of entries in the views of live processes that are from before a restart of their process.
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
        if let Some(offer) = view.tick() {
            self.send(index, index_at(offer.to), offer.message);
        }
        let jitter = self.random.u64(..=TICK_MS / 5);
        self.schedule(TICK_MS * 9 / 10 + jitter, Event::Tick { index, generation });
    }

    fn deliver(&mut self, from: usize, to: usize, message: Shuffle) {
        let Some(view) = self.views[to].as_mut() else { return };
        if let Some(response) = view.handle(address(from), message) {
            self.send(to, from, response);
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Shuffle) {
        if self.is_measuring_traffic {
            let bytes = datagram::encode(&message).expect("a message that fits into a datagram");
            assert_eq!(datagram::decode(&bytes), Some(message.clone()));
            self.datagram_count += 1;
            self.longest_datagram_bytes = self.longest_datagram_bytes.max(bytes.len());
        }
        let is_blocked = self.is_partitioned && from % 2 != to % 2;
        if is_blocked || self.random.f64() < self.loss {
            return;
        }
        let delay = self.random.u64(1..=MAX_DATAGRAM_DELAY_MS);
        self.schedule(delay, Event::Datagram { from, to, message });
    }

    fn schedule(&mut self, after_ms: u64, event: Event) {
        self.scheduled_count += 1;
        self.events.insert((self.now_ms + after_ms, self.scheduled_count), event);
    }
}

fn address(index: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 1, (index / HOSTS_PER_SUBNET) as u8, (index % HOSTS_PER_SUBNET + 1) as u8)
}

fn index_at(address: Ipv4Addr) -> usize {
    let [_, _, high, low] = address.octets();
    usize::from(high) * HOSTS_PER_SUBNET + usize::from(low) - 1
}

fn index_of(entry: &Entry) -> usize {
    index_at(entry.id.address())
}
