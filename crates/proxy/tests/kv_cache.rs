//! The choice of the replica or store from which KV cache is fetched, and of the store to which it is saved.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use fastrand::Rng;
use rstest::rstest;
use tulipridge_prefix_cache_index::{CacheUpdate, CachedPrefix, Index, Liveness, PrefixKey};
use tulipridge_proxy::kv_cache::{KvTransfer, PrefixChain, Target, TransferPlanner, cached_tokens};
use tulipridge_proxy::placement::prompt::PromptSegment;

const STORE: u8 = 200;
const SEGMENTS: [(&str, u32); 3] = [("a", 2_000), ("b", 100), ("c", 3_000)];

fn address(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, number), 80)
}

fn target(number: u8) -> Target {
    Target { address: SocketAddr::V4(address(number)), zone: u16::from(number % 2) }
}

/// A lookup of the zones of the replicas with these numbers.
fn zones(numbers: &[u8]) -> impl Fn(SocketAddr) -> Option<u16> {
    let zones: BTreeMap<SocketAddr, u16> =
        numbers.iter().map(|number| (SocketAddr::V4(address(*number)), u16::from(*number % 2))).collect();
    move |address| zones.get(&address).copied()
}

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn chain(salt: &str) -> PrefixChain {
    PrefixChain::new(&SEGMENTS.map(|(id, tokens)| PromptSegment::new(id, tokens)), salt)
}

fn cache_update(number: u8, liveness: Liveness, segments: &[(&str, &str, u32)]) -> CacheUpdate {
    CacheUpdate {
        source: address(number),
        boot: 1,
        next_token: 1,
        liveness,
        replace: true,
        added: segments
            .iter()
            .map(|(salt, segment, tokens)| CachedPrefix {
                key: PrefixKey::new(salt, segment),
                tokens: *tokens,
            })
            .collect(),
        removed: Vec::new(),
    }
}

fn planner(updates: &[CacheUpdate]) -> TransferPlanner {
    let mut index = Index::default();
    updates.iter().for_each(|update| index.apply(update));
    let mut planner = TransferPlanner::default();
    planner.set_index(Rc::new(RefCell::new(index)));
    planner.set_stores(vec![address(STORE)]);
    planner
}

fn fetch(plan: KvTransfer) -> Option<u8> {
    plan.fetch.map(number)
}

fn number(address: SocketAddr) -> u8 {
    let SocketAddr::V4(address) = address else { panic!("an IPv4 address") };
    address.ip().octets()[3]
}

/// The salt, segment id and token count of a cached segment.
type CachedSegment = (&'static str, &'static str, u32);

const COMPLETE: &[CachedSegment] = &[("m1", "a", 2_000), ("m1", "c", 3_000)];
const FIRST_SEGMENT: &[CachedSegment] = &[("m1", "a", 2_000)];
const LAST_SEGMENT: &[CachedSegment] = &[("m1", "c", 3_000)];

// ---- cached tokens ----------------------------------------------------------------------------------------

#[rstest]
#[case::complete(COMPLETE, 5_000)]
#[case::blocks(&[("m1", "a", 1_984), ("m1", "c", 2_992)], 4_976)]
#[case::first(FIRST_SEGMENT, 2_000)]
#[case::part_of_the_first(&[("m1", "a", 512), ("m1", "c", 3_000)], 512)]
#[case::last_alone(LAST_SEGMENT, 0)]
#[case::another_salt(&[("m2", "a", 2_000), ("m2", "c", 3_000)], 0)]
fn a_segment_counts_only_if_all_before_it_are_cached(
    #[case] segments: &[(&str, &str, u32)],
    #[case] expected: u32,
) {
    let mut index = Index::default();
    index.apply(&cache_update(1, Liveness::Alive, segments));
    assert_eq!(cached_tokens(&index, address(1), &chain("m1")), expected);
}

// ---- fetches ----------------------------------------------------------------------------------------------

#[rstest]
#[case::target_has_all(&[(1, COMPLETE), (2, COMPLETE), (STORE, COMPLETE)], None)]
#[case::same_zone_first(&[(2, COMPLETE), (3, COMPLETE), (4, COMPLETE), (STORE, COMPLETE)], Some(3))]
#[case::replica_before_store(&[(2, COMPLETE), (STORE, COMPLETE)], Some(2))]
#[case::replica_with_more_tokens(&[(3, FIRST_SEGMENT), (2, COMPLETE)], Some(2))]
#[case::store_with_more_tokens(&[(3, FIRST_SEGMENT), (STORE, COMPLETE)], Some(STORE))]
#[case::no_more_than_the_target(&[(1, FIRST_SEGMENT), (3, FIRST_SEGMENT), (STORE, FIRST_SEGMENT)], None)]
#[case::last_segment_without_first(&[(3, LAST_SEGMENT), (STORE, FIRST_SEGMENT)], Some(STORE))]
#[case::not_listed(&[(9, COMPLETE)], None)]
#[case::no_source(&[], None)]
fn the_source_with_the_most_cached_tokens_is_used(
    #[case] cached: &[(u8, &[CachedSegment])],
    #[case] expected: Option<u8>,
) {
    let updates: Vec<_> =
        cached.iter().map(|(number, segments)| cache_update(*number, Liveness::Alive, segments)).collect();
    let mut planner = planner(&updates);
    let plan = planner.plan(ms(0), &chain("m1"), target(1), zones(&[1, 2, 3, 4]));
    assert_eq!(fetch(plan), expected);
}

#[test]
fn a_recent_target_is_a_source_before_the_index_lists_it() {
    let mut planner = planner(&[cache_update(STORE, Liveness::Alive, &[])]);
    planner.plan(ms(0), &chain("m1"), target(1), zones(&[1, 2]));
    assert_eq!(fetch(planner.plan(ms(900), &chain("m1"), target(2), zones(&[1, 2]))), Some(1));
    assert_eq!(fetch(planner.plan(ms(950), &chain("m2"), target(1), zones(&[1, 2]))), None, "another salt");
    assert_eq!(
        fetch(planner.plan(ms(2_000), &chain("m1"), target(1), zones(&[1, 2]))),
        None,
        "the last target has expired"
    );
}

#[test]
fn without_an_index_only_the_last_target_is_a_source() {
    let mut planner = planner(&[]);
    let first = planner.plan(ms(0), &chain("m1"), target(1), zones(&[1, 2]));
    assert_eq!((first.fetch, first.save), (None, None));
    let second = planner.plan(ms(9_000), &chain("m1"), target(2), zones(&[1, 2]));
    assert_eq!((fetch(second), second.save), (Some(1), None));
}

#[test]
fn a_prompt_without_long_shared_segments_transfers_nothing() {
    let mut planner = planner(&[cache_update(STORE, Liveness::Alive, &[])]);
    let short = PrefixChain::new(&[PromptSegment::new("a", 255)], "m1");
    let plan = planner.plan(ms(0), &short, target(1), zones(&[1]));
    assert_eq!((plan.fetch, plan.save), (None, None));
}

#[rstest]
#[case::no_source(&[], 5_000)]
#[case::target(&[(1, FIRST_SEGMENT)], 3_000)]
#[case::source(&[(1, FIRST_SEGMENT), (2, COMPLETE)], 0)]
#[case::store(&[(STORE, FIRST_SEGMENT)], 3_000)]
fn tokens_cached_by_neither_target_nor_source_are_unread(
    #[case] cached: &[(u8, &[CachedSegment])],
    #[case] expected: u32,
) {
    let updates: Vec<_> =
        cached.iter().map(|(number, segments)| cache_update(*number, Liveness::Alive, segments)).collect();
    let plan = planner(&updates).plan(ms(0), &chain("m1"), target(1), zones(&[1, 2]));
    assert_eq!(plan.unread_tokens, expected);
}

#[rstest]
#[case::within_the_bound(4_095, Some(1))]
#[case::beyond_the_bound(4_096, None)]
fn a_limited_number_of_prefixes_is_remembered(#[case] others: u32, #[case] expected: Option<u8>) {
    let mut planner = planner(&[]);
    let mut plan = |salt: &str, number| planner.plan(ms(0), &chain(salt), target(number), zones(&[1, 2]));
    plan("m1", 1);
    for other in 0..others {
        plan(&format!("other-{other}"), 2);
    }
    assert_eq!(fetch(plan("m1", 2)), expected);
}

// ---- saves ------------------------------------------------------------------------------------------------

#[rstest]
#[case::lacks_all(Liveness::Alive, &[], true)]
#[case::lacks_the_last(Liveness::Alive, FIRST_SEGMENT, true)]
#[case::has_all(Liveness::Alive, COMPLETE, false)]
#[case::down(Liveness::Down, &[], false)]
fn a_prefix_is_saved_to_a_store_that_lacks_it(
    #[case] liveness: Liveness,
    #[case] segments: &[(&str, &str, u32)],
    #[case] expected: bool,
) {
    let mut planner = planner(&[cache_update(STORE, liveness, segments)]);
    let plan = planner.plan(ms(0), &chain("m1"), target(1), zones(&[1]));
    assert_eq!(plan.save.map(number), expected.then_some(STORE));
}

#[test]
fn a_save_is_not_requested_again_at_once() {
    let mut planner = planner(&[cache_update(STORE, Liveness::Alive, &[])]);
    let mut saves_at = |time| planner.plan(ms(time), &chain("m1"), target(1), zones(&[1])).save.is_some();
    assert_eq!([0, 10, 2_999, 3_000, 3_001].map(&mut saves_at), [true, false, false, true, false]);
}

// ---- property ---------------------------------------------------------------------------------------------

fn pick<T: Copy>(random: &mut Rng, from: &[T]) -> T {
    *random.choice(from).expect("a non-empty slice")
}

const NUMBERS: [u8; 7] = [1, 2, 3, 4, 5, 6, STORE];
const LISTED: [u8; 5] = [1, 2, 3, 4, 5];
const SALTS: [&str; 3] = ["m1", "m2", "m1-t-x"];

fn random_update(random: &mut Rng) -> CacheUpdate {
    let number = pick(random, &NUMBERS);
    let liveness = pick(random, &[Liveness::Alive, Liveness::Alive, Liveness::Alive, Liveness::Down]);
    let segments: Vec<_> = (0..random.u8(..5))
        .map(|_| (pick(random, &SALTS), pick(random, &["a", "c"]), 256 + random.u32(..3_000)))
        .collect();
    CacheUpdate { replace: random.u8(..4) == 0, ..cache_update(number, liveness, &segments) }
}

/// Checks that a plan names neither the target as a source, nor a source that is down, unlisted, or without a segment
/// under the request's salt that it was sent or has cached.
fn assert_allowed(plan: KvTransfer, index: &Index, target: u8, salt: &str, sent: &[(u8, &str)]) {
    if let Some(source) = fetch(plan) {
        let chain = chain(salt);
        let is_kept = cached_tokens(index, address(source), &chain) > 0;
        let is_down = index.status(address(source)).is_some_and(|s| s.liveness != Liveness::Alive);
        assert_ne!(source, target);
        assert!(!is_down, "{source} is down");
        assert!(is_kept || sent.contains(&(source, salt)), "{source} has no segment under {salt}");
        assert!(source == STORE || LISTED.contains(&source), "{source} is not listed");
    }
    assert!(plan.save.is_none_or(|store| number(store) == STORE && index.is_alive(address(STORE))));
}

#[rstest]
fn no_plan_names_an_invalid_source(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut random = Rng::with_seed(seed);
    let index = Rc::new(RefCell::new(Index::default()));
    let mut planner = TransferPlanner::default();
    planner.set_index(index.clone());
    planner.set_stores(vec![address(STORE)]);
    let (mut now, mut sent, mut fetches) = (0, Vec::new(), 0);
    for _ in 0..5_000 {
        now += random.u64(..800);
        if random.u8(..4) == 0 {
            index.borrow_mut().apply(&random_update(&mut random));
            continue;
        }
        let (number, salt) = (pick(&mut random, &LISTED), pick(&mut random, &SALTS));
        let plan = planner.plan(ms(now), &chain(salt), target(number), zones(&LISTED));
        assert_allowed(plan, &index.borrow(), number, salt, &sent);
        fetches += usize::from(plan.fetch.is_some());
        sent.push((number, salt));
    }
    assert!(fetches > 500, "only {fetches} fetches were planned");
}
