//! Tests of the index, of event pages and of the change log. Randomized tests compare the index with simulated sources:
//! although sources restart, and events arrive late, twice or never, the index converges to what the sources have
//! cached, a subscriber has the same entries as its publisher, and entries of one salt are not found under another.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};

use fastrand::Rng;
use rstest::rstest;
use tulipridge_prefix_cache_index::{
    CacheEntry, CacheListing, CacheUpdate, CachedPrefix, ChangeLog, ChangedKeys, Cursor, EventPage, Index,
    Liveness, MIN_CACHED_TOKENS, PollOutcome, PrefixKey, prefix_hash,
};

fn address(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, number), 8080)
}

fn key(segment: u64) -> PrefixKey {
    PrefixKey::new("m1", &format!("{segment:x}"))
}

fn cached(segment: u64, tokens: u32) -> CachedPrefix {
    CachedPrefix { key: key(segment), tokens }
}

fn entry(source: u8, segment: u64) -> CacheEntry {
    CacheEntry { source: address(source), key: key(segment) }
}

/// The address and cached tokens of each location of a segment, sorted.
fn locations(index: &Index, key: PrefixKey) -> Vec<(SocketAddrV4, u32)> {
    let mut locations: Vec<_> =
        index.locations(key).map(|location| (location.source, location.tokens)).collect();
    locations.sort_unstable();
    locations
}

fn added(source: SocketAddrV4, prefixes: &[CachedPrefix]) -> CacheUpdate {
    CacheUpdate {
        source,
        boot: 1,
        next_token: 1,
        liveness: Liveness::Alive,
        replace: false,
        added: prefixes.to_vec(),
        removed: Vec::new(),
    }
}

// ---- keys -------------------------------------------------------------------------------------------------

#[test]
fn keys_are_the_same_on_all_machines() {
    assert_eq!(prefix_hash(""), 0x2D06_8005_38D3_94C2, "the published XXH3 value of an empty input");
    assert_eq!(prefix_hash("5c1e07a2"), 0xBA82_743B_1896_2CE7);
    assert_eq!(PrefixKey::new("m1", "5c1e07a2"), PrefixKey(0xD25F_B8CA_0C46_FF19));
    assert_eq!(PrefixKey::salted("m1", prefix_hash("5c1e07a2")), PrefixKey::new("m1", "5c1e07a2"));
}

#[test]
fn salts_and_segment_ids_are_separated_in_keys() {
    let salts = ["", "m1", "m2", "m11", "m1-t-a", "m1-t-b"];
    let segments = ["", "1", "11", "-t-a", "5c1e07a2"];
    let pairs = salts.iter().flat_map(|salt| segments.iter().map(move |id| PrefixKey::new(salt, id)));
    let keys: std::collections::BTreeSet<PrefixKey> = pairs.collect();
    assert_eq!(keys.len(), salts.len() * segments.len());
}

// ---- wire format ------------------------------------------------------------------------------------------

#[test]
fn a_cached_prefix_has_the_bytes_of_a_pair() {
    let prefix = CachedPrefix { key: PrefixKey(0xD25F_B8CA_0C46_FF19), tokens: 800 };
    let bytes = musli::wire::to_vec(&vec![prefix]).expect("a cached prefix can be encoded");
    let pair = musli::wire::to_vec(&vec![(prefix.key.0, prefix.tokens)]).expect("a pair can be encoded");
    assert_eq!(bytes, pair);
    let decoded: Vec<CachedPrefix> = musli::wire::from_slice(&pair).expect("a pair can be decoded");
    assert_eq!(decoded, [prefix]);
}

// ---- event pages ------------------------------------------------------------------------------------------

#[test]
fn the_newest_event_of_a_segment_counts() {
    let page = EventPage {
        cursor: Cursor { boot: 7, next_token: 4 },
        gap: false,
        events: vec![cached(1, 800), cached(2, 800), cached(1, 512), cached(2, 0)],
    };
    let cursor = Some(Cursor { boot: 7, next_token: 0 });
    let PollOutcome::Update(update) = PollOutcome::of_page(address(1), cursor, &page) else {
        panic!("the outcome is not an update")
    };
    assert!(!update.replace);
    assert_eq!(update.added, [cached(1, 512)]);
    assert_eq!(update.removed, [key(2)]);
}

#[rstest]
#[case::short(MIN_CACHED_TOKENS - 1, false)]
#[case::long_enough(MIN_CACHED_TOKENS, true)]
fn a_short_segment_is_not_indexed(#[case] tokens: u32, #[case] indexed: bool) {
    let cursor = Cursor { boot: 1, next_token: 1 };
    let page = EventPage { cursor, gap: false, events: vec![cached(1, tokens)] };
    let PollOutcome::Update(update) = PollOutcome::of_page(address(1), None, &page) else {
        panic!("the outcome is not an update")
    };
    assert_eq!(!update.added.is_empty(), indexed);
    let listing = CacheListing { cursor, prefixes: vec![cached(1, tokens)] };
    assert_eq!(!CacheUpdate::resync(address(1), listing).added.is_empty(), indexed);
}

#[test]
fn a_page_without_events_changes_nothing() {
    let cursor = Cursor { boot: 7, next_token: 4 };
    let page = EventPage { cursor, gap: false, events: vec![] };
    assert_eq!(PollOutcome::of_page(address(1), Some(cursor), &page), PollOutcome::Unchanged);
}

#[test]
fn a_restart_voids_all_entries_and_begins_at_the_first_event() {
    let cursor = Some(Cursor { boot: 7, next_token: 4 });
    let page =
        EventPage { cursor: Cursor { boot: 8, next_token: 2 }, gap: false, events: vec![cached(1, 800)] };
    let PollOutcome::Restarted(update) = PollOutcome::of_page(address(1), cursor, &page) else {
        panic!("the outcome is not a restart")
    };
    assert!(update.replace && update.added.is_empty());
    assert_eq!((update.boot, update.next_token), (8, 0));
}

#[test]
fn a_gap_voids_the_entries_before_it() {
    let cursor = Some(Cursor { boot: 7, next_token: 4 });
    let page =
        EventPage { cursor: Cursor { boot: 7, next_token: 90 }, gap: true, events: vec![cached(1, 800)] };
    let PollOutcome::Gap(update) = PollOutcome::of_page(address(1), cursor, &page) else {
        panic!("the outcome is not a gap")
    };
    assert!(update.replace);
    assert_eq!((update.added, update.next_token), (vec![cached(1, 800)], 90));
}

// ---- the index --------------------------------------------------------------------------------------------

#[test]
fn a_replacement_drops_what_its_source_had_and_nothing_else() {
    let mut index = Index::default();
    index.apply(&added(address(1), &[cached(1, 800), cached(2, 400)]));
    index.apply(&added(address(2), &[cached(1, 800)]));
    index.apply(&CacheUpdate { replace: true, ..added(address(1), &[cached(2, 300)]) });
    assert_eq!(locations(&index, key(1)), [(address(2), 800)]);
    assert_eq!(locations(&index, key(2)), [(address(1), 300)]);
}

#[test]
fn a_source_that_is_down_is_no_location_until_it_is_back() {
    let mut index = Index::default();
    index.apply(&added(address(1), &[cached(1, 800)]));
    index.apply(&CacheUpdate { liveness: Liveness::Down, ..added(address(1), &[]) });
    assert_eq!(locations(&index, key(1)), []);
    assert_eq!(index.cached_tokens(address(1), key(1)), 800);
    index.apply(&added(address(1), &[]));
    assert_eq!(locations(&index, key(1)), [(address(1), 800)]);
}

#[test]
fn a_source_that_is_gone_is_dropped() {
    let mut index = Index::default();
    index.apply(&added(address(1), &[cached(1, 800)]));
    index.apply(&CacheUpdate::gone(address(1)));
    assert!(index.is_empty());
    assert_eq!((index.len(), index.status(address(1))), (0, None));
}

#[test]
fn the_oldest_entries_are_evicted_over_the_limit() {
    let mut index = Index::default();
    for segment in 0..10 {
        index.apply(&added(address(1), &[cached(segment, 800)]));
    }
    index.apply(&added(address(1), &[cached(0, 900)]));
    let evicted = index.evict_oldest(7);
    assert_eq!(evicted, [entry(1, 0), entry(1, 1), entry(1, 2)]);
    assert_eq!(index.len(), 7);
    assert_eq!(index.evict_oldest(7), []);
}

// ---- randomized tests -------------------------------------------------------------------------------------

const SOURCES: u8 = 4;
const SEGMENTS: u64 = 40;

/// A simulated source: what it has cached, and the events that it has published.
#[derive(Clone, Default)]
struct SimulatedSource {
    boot: u64,
    cached: BTreeMap<PrefixKey, u32>,
    events: Vec<CachedPrefix>,
    /// The index of the first event that is not lost.
    first_retained: usize,
}

impl SimulatedSource {
    fn change(&mut self, random: &mut Rng) {
        let key = key(random.u64(..SEGMENTS));
        let tokens = if random.u8(..3) == 0 { 0 } else { MIN_CACHED_TOKENS + random.u32(..4_000) };
        match tokens {
            0 => drop(self.cached.remove(&key)),
            _ => drop(self.cached.insert(key, tokens)),
        }
        self.events.push(CachedPrefix { key, tokens });
    }

    fn restart(&mut self) {
        *self = SimulatedSource { boot: self.boot + 1, ..SimulatedSource::default() };
    }

    fn end(&self) -> Cursor {
        Cursor { boot: self.boot, next_token: self.events.len() as u64 }
    }

    fn page(&self, from: u64) -> EventPage {
        let start = (from as usize).min(self.events.len());
        EventPage {
            cursor: self.end(),
            gap: start < self.first_retained,
            events: self.events[start.max(self.first_retained)..].to_vec(),
        }
    }

    fn listing(&self) -> CacheListing {
        let prefixes =
            self.cached.iter().map(|(key, tokens)| CachedPrefix { key: *key, tokens: *tokens }).collect();
        CacheListing { cursor: self.end(), prefixes }
    }
}

/// Applies the events of the sources to an index, and logs the changes for subscribers.
#[derive(Clone, Default)]
struct Publisher {
    index: Index,
    log: ChangeLog<u64>,
    position: u64,
}

impl Publisher {
    fn apply(&mut self, update: &CacheUpdate) {
        self.index.apply(update);
        let mut changed = ChangedKeys::default();
        changed.add(update);
        self.log.record(self.position, changed);
        self.position += 1;
    }

    fn poll(&mut self, source: SocketAddrV4, simulated: &SimulatedSource) {
        let cursor = self.index.status(source).map(|status| status.cursor);
        let page = simulated.page(cursor.map_or(0, |cursor| cursor.next_token));
        match PollOutcome::of_page(source, cursor, &page) {
            PollOutcome::Unchanged => {}
            PollOutcome::Update(update) => self.apply(&update),
            PollOutcome::Gap(_) => self.apply(&CacheUpdate::resync(source, simulated.listing())),
            PollOutcome::Restarted(update) => {
                self.apply(&update);
                self.poll(source, simulated);
            }
        }
    }
}

#[derive(Default)]
struct Subscriber {
    index: Index,
    position: u64,
}

impl Subscriber {
    fn catch_up(&mut self, publisher: &Publisher) {
        let updates = match publisher.log.since(&self.position) {
            Some(changed) => publisher.index.updates(&changed),
            None if self.position == publisher.position => Vec::new(),
            None => {
                self.index = Index::default();
                publisher.index.snapshot()
            }
        };
        updates.iter().for_each(|update| self.index.apply(update));
        self.position = publisher.position;
    }
}

#[rstest]
fn a_subscriber_converges_to_what_the_sources_have_cached(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut random = Rng::with_seed(seed);
    let mut sources = vec![SimulatedSource::default(); usize::from(SOURCES)];
    let (mut publisher, mut subscriber) = (Publisher::default(), Subscriber::default());
    for _ in 0..4_000 {
        let number = random.u8(..SOURCES);
        let source = &mut sources[usize::from(number)];
        match random.u8(..100) {
            0 => source.restart(),
            1 => source.first_retained = source.events.len(),
            2 => publisher.apply(&CacheUpdate::gone(address(number))),
            3..20 => publisher.poll(address(number), source),
            20..30 => subscriber.catch_up(&publisher),
            _ => source.change(&mut random),
        }
        assert!(publisher.index.len() <= usize::from(SOURCES) * SEGMENTS as usize);
    }
    for (number, source) in sources.iter().enumerate() {
        publisher.poll(address(number as u8), source);
    }
    subscriber.catch_up(&publisher);
    assert_eq!(subscriber.index.snapshot(), publisher.index.snapshot());
    assert_eq!(subscriber.index.len(), publisher.index.len());
    for (number, source) in sources.iter().enumerate() {
        for segment in 0..SEGMENTS {
            let cached = source.cached.get(&key(segment)).copied().unwrap_or(0);
            assert_eq!(subscriber.index.cached_tokens(address(number as u8), key(segment)), cached);
            let other = PrefixKey::new("m2", &format!("{segment:x}"));
            assert_eq!(subscriber.index.cached_tokens(address(number as u8), other), 0, "another salt");
        }
    }
}

#[rstest]
fn a_successor_continues_from_its_replica_of_the_index(#[values(1, 2, 3, 4)] seed: u64) {
    let mut random = Rng::with_seed(seed);
    let mut source = SimulatedSource::default();
    let (mut publisher, mut replica) = (Publisher::default(), Subscriber::default());
    for _ in 0..200 {
        source.change(&mut random);
        publisher.poll(address(1), &source);
        if random.u8(..4) == 0 {
            replica.catch_up(&publisher);
        }
    }
    let mut successor = Publisher { index: replica.index, ..Publisher::default() };
    successor.poll(address(1), &source);
    assert_eq!(successor.index.snapshot(), publisher.index.snapshot());
}
