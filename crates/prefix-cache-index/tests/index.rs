//! The index against a model: whatever sources do and whatever of it comes late, twice or never, the index knows what
//! it was told, a subscriber knows what its publisher knows, and salts stay apart.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};

use fastrand::Rng;
use rstest::rstest;
use tulipridge_prefix_cache_index::{
    CacheListing, CacheUpdate, ChangeLog, ChangedKeys, Cursor, EventPage, Index, Liveness,
    MIN_CACHED_TOKENS, PollOutcome, PrefixKey, follow, listed, prefix_hash,
};

fn address(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, number), 8080)
}

fn key(part: u64) -> PrefixKey {
    PrefixKey::new("m1", &format!("{part:x}"))
}

fn holders(index: &Index, key: PrefixKey) -> Vec<(SocketAddrV4, u32)> {
    let mut holders: Vec<_> = index.holders(key).map(|holder| (holder.source, holder.tokens)).collect();
    holders.sort_unstable();
    holders
}

fn added(source: SocketAddrV4, parts: &[(PrefixKey, u32)]) -> CacheUpdate {
    CacheUpdate {
        source,
        boot: 1,
        next_token: 1,
        liveness: Liveness::Alive,
        replace: false,
        added: parts.to_vec(),
        removed: Vec::new(),
    }
}

// ---- keys -------------------------------------------------------------------------------------------------

#[test]
fn keys_are_the_same_on_all_machines() {
    assert_eq!(prefix_hash(""), 0x2D06_8005_38D3_94C2, "the published value of XXH3 for nothing");
    assert_eq!(prefix_hash("5c1e07a2"), 0xBA82_743B_1896_2CE7);
    assert_eq!(PrefixKey::new("m1", "5c1e07a2"), PrefixKey(0xD25F_B8CA_0C46_FF19));
    assert_eq!(PrefixKey::salted("m1", prefix_hash("5c1e07a2")), PrefixKey::new("m1", "5c1e07a2"));
}

#[test]
fn salts_and_parts_do_not_run_together() {
    let salts = ["", "m1", "m2", "m11", "m1-t-a", "m1-t-b"];
    let parts = ["", "1", "11", "-t-a", "5c1e07a2"];
    let pairs = salts.iter().flat_map(|salt| parts.iter().map(move |part| PrefixKey::new(salt, part)));
    let keys: std::collections::BTreeSet<PrefixKey> = pairs.collect();
    assert_eq!(keys.len(), salts.len() * parts.len());
}

// ---- pages of events --------------------------------------------------------------------------------------

#[test]
fn the_newest_event_of_a_part_counts() {
    let page = EventPage {
        boot: 7,
        next_token: 4,
        gap: false,
        events: vec![(key(1), 800), (key(2), 800), (key(1), 512), (key(2), 0)],
    };
    let cursor = Some(Cursor { boot: 7, next_token: 0 });
    let PollOutcome::Update(update) = follow(address(1), cursor, &page) else { panic!("an update") };
    assert!(!update.replace);
    assert_eq!(update.added, [(key(1), 512)]);
    assert_eq!(update.removed, [key(2)]);
}

#[rstest]
#[case::short(MIN_CACHED_TOKENS - 1, false)]
#[case::long_enough(MIN_CACHED_TOKENS, true)]
fn a_short_part_is_not_indexed(#[case] tokens: u32, #[case] indexed: bool) {
    let page = EventPage { boot: 1, next_token: 1, gap: false, events: vec![(key(1), tokens)] };
    let PollOutcome::Update(update) = follow(address(1), None, &page) else { panic!("an update") };
    assert_eq!(!update.added.is_empty(), indexed);
    let listing = CacheListing { boot: 1, next_token: 1, parts: vec![(key(1), tokens)] };
    assert_eq!(!listed(address(1), listing).added.is_empty(), indexed);
}

#[test]
fn a_page_without_news_changes_nothing() {
    let cursor = Some(Cursor { boot: 7, next_token: 4 });
    let page = EventPage { boot: 7, next_token: 4, gap: false, events: vec![] };
    assert_eq!(follow(address(1), cursor, &page), PollOutcome::Nothing);
}

#[test]
fn a_restart_voids_all_and_begins_at_the_first_event() {
    let cursor = Some(Cursor { boot: 7, next_token: 4 });
    let page = EventPage { boot: 8, next_token: 2, gap: false, events: vec![(key(1), 800)] };
    let PollOutcome::Restarted(update) = follow(address(1), cursor, &page) else { panic!("a restart") };
    assert!(update.replace && update.added.is_empty());
    assert_eq!((update.boot, update.next_token), (8, 0));
}

#[test]
fn a_gap_voids_what_was_known_before_it() {
    let cursor = Some(Cursor { boot: 7, next_token: 4 });
    let page = EventPage { boot: 7, next_token: 90, gap: true, events: vec![(key(1), 800)] };
    let PollOutcome::Gap(update) = follow(address(1), cursor, &page) else { panic!("a gap") };
    assert!(update.replace);
    assert_eq!((update.added, update.next_token), (vec![(key(1), 800)], 90));
}

// ---- the index --------------------------------------------------------------------------------------------

#[test]
fn a_source_that_is_down_holds_nothing_until_it_is_back() {
    let mut index = Index::default();
    index.apply(&added(address(1), &[(key(1), 800)]));
    index.apply(&CacheUpdate { liveness: Liveness::Down, ..added(address(1), &[]) });
    assert_eq!(holders(&index, key(1)), []);
    assert_eq!(index.kept(address(1), key(1)), 800);
    index.apply(&added(address(1), &[]));
    assert_eq!(holders(&index, key(1)), [(address(1), 800)]);
}

#[test]
fn a_source_that_is_gone_is_forgotten() {
    let mut index = Index::default();
    index.apply(&added(address(1), &[(key(1), 800)]));
    index.apply(&CacheUpdate::gone(address(1)));
    assert!(index.is_empty());
    assert_eq!((index.len(), index.status(address(1))), (0, None));
}

#[test]
fn the_oldest_entries_give_way_over_the_bound() {
    let mut index = Index::default();
    for part in 0..10 {
        index.apply(&added(address(1), &[(key(part), 800)]));
    }
    index.apply(&added(address(1), &[(key(0), 900)]));
    let dropped = index.drop_oldest(7);
    assert_eq!(dropped, [(address(1), key(0)), (address(1), key(1)), (address(1), key(2))]);
    assert_eq!(index.len(), 7);
    assert_eq!(index.drop_oldest(7), []);
}

// ---- random histories -------------------------------------------------------------------------------------

const SOURCES: u8 = 4;
const PARTS: u64 = 40;

/// A source as it is in truth: what it keeps, and the events that tell of it.
#[derive(Clone, Default)]
struct TrueSource {
    boot: u64,
    kept: BTreeMap<PrefixKey, u32>,
    events: Vec<(PrefixKey, u32)>,
    first: usize,
}

impl TrueSource {
    fn change(&mut self, random: &mut Rng) {
        let key = key(random.u64(..PARTS));
        let tokens = if random.u8(..3) == 0 { 0 } else { MIN_CACHED_TOKENS + random.u32(..4_000) };
        match tokens {
            0 => drop(self.kept.remove(&key)),
            _ => drop(self.kept.insert(key, tokens)),
        }
        self.events.push((key, tokens));
    }

    fn restart(&mut self) {
        *self = TrueSource { boot: self.boot + 1, ..TrueSource::default() };
    }

    fn page(&self, from: u64) -> EventPage {
        let start = (from as usize).min(self.events.len());
        EventPage {
            boot: self.boot,
            next_token: self.events.len() as u64,
            gap: start < self.first,
            events: self.events[start.max(self.first)..].to_vec(),
        }
    }

    fn listing(&self) -> CacheListing {
        let parts = self.kept.iter().map(|(key, tokens)| (*key, *tokens)).collect();
        CacheListing { boot: self.boot, next_token: self.events.len() as u64, parts }
    }
}

/// One who follows the sources, with the steps that lead others to the same state.
#[derive(Clone, Default)]
struct Publisher {
    index: Index,
    log: ChangeLog<u64>,
    position: u64,
}

impl Publisher {
    fn take(&mut self, update: &CacheUpdate) {
        self.index.apply(update);
        let mut touched = ChangedKeys::default();
        touched.add(update);
        self.log.record(self.position, touched);
        self.position += 1;
    }

    fn poll(&mut self, source: SocketAddrV4, truth: &TrueSource) {
        let cursor = self.index.status(source).map(|status| status.cursor);
        let page = truth.page(cursor.map_or(0, |cursor| cursor.next_token));
        match follow(source, cursor, &page) {
            PollOutcome::Nothing => {}
            PollOutcome::Update(update) => self.take(&update),
            PollOutcome::Gap(_) => self.take(&listed(source, truth.listing())),
            PollOutcome::Restarted(update) => {
                self.take(&update);
                self.poll(source, truth);
            }
        }
    }
}

#[derive(Default)]
struct Reader {
    index: Index,
    position: u64,
}

impl Reader {
    fn catch_up(&mut self, publisher: &Publisher) {
        let updates = match publisher.log.since(&self.position) {
            Some(touched) => publisher.index.updates(&touched),
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
fn a_reader_comes_to_know_what_the_sources_keep(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut random = Rng::with_seed(seed);
    let mut truths = vec![TrueSource::default(); usize::from(SOURCES)];
    let (mut publisher, mut reader) = (Publisher::default(), Reader::default());
    for _ in 0..4_000 {
        let number = random.u8(..SOURCES);
        let truth = &mut truths[usize::from(number)];
        match random.u8(..100) {
            0 => truth.restart(),
            1 => truth.first = truth.events.len(),
            2 => publisher.take(&CacheUpdate::gone(address(number))),
            3..20 => publisher.poll(address(number), truth),
            20..30 => reader.catch_up(&publisher),
            _ => truth.change(&mut random),
        }
        assert!(publisher.index.len() <= usize::from(SOURCES) * PARTS as usize);
    }
    for (number, truth) in truths.iter().enumerate() {
        publisher.poll(address(number as u8), truth);
    }
    reader.catch_up(&publisher);
    assert_eq!(reader.index.snapshot(), publisher.index.snapshot());
    assert_eq!(reader.index.len(), publisher.index.len());
    for (number, truth) in truths.iter().enumerate() {
        for part in 0..PARTS {
            let kept = truth.kept.get(&key(part)).copied().unwrap_or(0);
            assert_eq!(reader.index.kept(address(number as u8), key(part)), kept);
            let other = PrefixKey::new("m2", &format!("{part:x}"));
            assert_eq!(reader.index.kept(address(number as u8), other), 0, "another salt");
        }
    }
}

#[rstest]
fn a_successor_goes_on_where_its_copy_ends(#[values(1, 2, 3, 4)] seed: u64) {
    let mut random = Rng::with_seed(seed);
    let mut truth = TrueSource::default();
    let (mut publisher, mut copy) = (Publisher::default(), Reader::default());
    for _ in 0..200 {
        truth.change(&mut random);
        publisher.poll(address(1), &truth);
        if random.u8(..4) == 0 {
            copy.catch_up(&publisher);
        }
    }
    let mut successor = Publisher { index: copy.index, ..Publisher::default() };
    successor.poll(address(1), &truth);
    assert_eq!(successor.index.snapshot(), publisher.index.snapshot());
}
