//! When the list's news count as told, whether or not they arrived: nothing new may go to a drained replica
//! after that and the grace. The gateway makes no call that may wait for a change (a watch is one answer that stays
//! open), so of a call with a wait the plain bound holds: it is given up and made again, though it hang anywhere.

mod support;

use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use support::list_propagation::{Mood, Scene};

/// What a silent watch misses counts as told so long after it fell silent.
const PROPAGATION_DEADLINE: Duration = Duration::from_secs(6);
/// For the drain that comes amid a silence or an outage.
const AMID: Duration = Duration::from_millis(500);
/// Discovery is down for so long: longer than a silence that is noticed.
const DOWN: Duration = Duration::from_secs(3);

fn silent(way: &str) {
    let scene = Scene::new(way, 10, false, false);
    let from = scene.lists.make_watches_idle();
    thread::sleep(AMID);
    scene.lists.drain(0);
    scene.holds(&format!("{way}, silent"), from, PROPAGATION_DEADLINE);
}

#[test]
fn pushed_a_watch_that_falls_silent_is_opened_anew_in_time() {
    silent("push");
}

#[test]
fn asked_a_watch_that_falls_silent_is_opened_anew_in_time() {
    silent("ask");
}

/// The watch is reset, and the call that follows hangs in that mood.
fn hanging(way: &str, mood: Mood) {
    let scene = Scene::new(way, 10, false, false);
    scene.lists.become_(Mood::Reset);
    // Those that are open are reset by then; calls meanwhile are, too.
    thread::sleep(Duration::from_millis(50));
    let from = scene.lists.become_(mood);
    support::eventually(|| scene.lists.calls_since(from) > 0);
    scene.lists.drain(0);
    thread::sleep(AMID);
    scene.lists.become_(Mood::Well);
    // A second is left for the slot that a gateway of a larger group waits for.
    scene.holds(&format!("{way}, {mood:?}"), from, PROPAGATION_DEADLINE - Duration::from_secs(1));
}

#[test]
fn a_call_whose_answer_hangs_is_made_again_in_time() {
    let moods = [Mood::Mute, Mood::HeadOnly, Mood::LateHead(2400)];
    let all = ["ask", "push"].map(|way| moods.map(|mood| thread::spawn(move || hanging(way, mood))));
    all.into_iter().flatten().for_each(|one| one.join().expect("it holds"));
}

/// Discovery is down in that mood, and a drain is made meanwhile.
fn outage(way: &str, mood: Mood, counted: Duration) {
    let scene = Scene::new(way, 1, false, false);
    if way == "ask" {
        // Watches end when it goes down.
        scene.lists.become_(Mood::Reset);
        thread::sleep(Duration::from_millis(20));
    }
    scene.lists.become_(mood);
    thread::sleep(AMID);
    scene.lists.drain(0);
    thread::sleep(DOWN);
    let from = scene.lists.become_(Mood::Well);
    scene.holds(&format!("{way}, down: {mood:?}"), from, counted);
}

const DOWNS: [Mood; 5] = [Mood::Mute, Mood::HeadOnly, Mood::Reset, Mood::Sorry, Mood::Away];

#[test]
fn pushed_what_the_agent_has_counts_at_once_after_an_outage() {
    let all = DOWNS.map(|mood| thread::spawn(move || outage("push", mood, Duration::ZERO)));
    all.into_iter().for_each(|one| one.join().expect("it holds"));
}

#[test]
fn asked_the_list_is_had_in_time_after_an_outage() {
    // The settings of the test give 1 s for asking, and four times as much after a call that failed.
    let all = DOWNS.map(|mood| thread::spawn(move || outage("ask", mood, Duration::from_secs(4))));
    all.into_iter().for_each(|one| one.join().expect("it holds"));
}

#[test]
fn pushed_what_the_agent_has_counts_though_the_watch_was_reset() {
    let scene = Scene::new("push", 10, false, false);
    let from = scene.lists.become_(Mood::Reset);
    thread::sleep(Duration::from_millis(20));
    scene.lists.drain(0);
    scene.lists.become_(Mood::Well);
    scene.holds("push, reset", from, Duration::ZERO);
}

#[test]
fn pushed_what_the_agent_has_counts_from_the_first_moment_of_a_process() {
    let scene = Scene::new("push", 10, false, true);
    // It takes requests once it listens, which the machine's speed decides.
    scene.holds("push, new process", Instant::now(), Duration::ZERO);
}

#[test]
fn indented_lists_are_read_pushed_and_asked() {
    let all = ["push", "ask"].map(|way| {
        thread::spawn(move || {
            let scene = Scene::new(way, 10, true, false);
            let from = scene.lists.drain(0);
            scene.holds(&format!("{way}, indented"), from, Duration::ZERO);
        })
    });
    all.into_iter().for_each(|one| one.join().expect("it holds"));
}

/// The first and the last of a group of 300, whose slots lie at the ends of a window.
const ENDS: [(u32, u32); 2] = [(0, 300), (299, 300)];

/// The plays of one such test at a time are enough for a small machine.
static ALONE: Mutex<()> = Mutex::new(());

/// Plays it for both ends of a group, with waits that lie over a window of up to 5.5 s: each gateway calls in a slot
/// that recurs on the clock that all share, and opens its first watch in it, so whether it comes late depends on when
/// after that something happens.
fn at_any_instant(play: fn((u32, u32), Duration)) {
    let all = (0..7)
        .flat_map(|n| ENDS.map(|who| thread::spawn(move || play(who, Duration::from_millis(800) * n))));
    all_hold(all.collect());
}

/// Waits for all before it says that one didn't hold, so that none is left behind.
fn all_hold(all: Vec<thread::JoinHandle<()>>) {
    let ends: Vec<_> = all.into_iter().map(std::thread::JoinHandle::join).collect();
    let broken = ends.iter().filter(|end| end.is_err()).count();
    assert_eq!(broken, 0, "of {} plays", ends.len());
}

#[test]
fn asked_a_watch_that_falls_silent_is_opened_anew_in_time_in_a_group_of_300() {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    at_any_instant(|who, wait| {
        let scene = Scene::of(who, "ask", 10, false, false);
        thread::sleep(wait);
        let from = scene.lists.make_watches_idle();
        thread::sleep(AMID);
        scene.lists.drain(0);
        scene.holds(&format!("{who:?}, silent after {wait:?}"), from, PROPAGATION_DEADLINE);
    });
}

/// Discovery is down in that mood for long enough that calls fail, and a drain is made meanwhile.
fn outage_of_300(who: (u32, u32), mood: Mood, ask_within_s: u64, counted: Duration) {
    let scene = Scene::of(who, "ask", ask_within_s, false, false);
    scene.lists.become_(Mood::Reset);
    thread::sleep(Duration::from_millis(20));
    let down = scene.lists.become_(mood);
    thread::sleep(AMID);
    scene.lists.drain(0);
    match mood {
        // Nobody is there to see calls: longer than any gateway waits for its first slot.
        Mood::Away => thread::sleep(Duration::from_millis(6500)),
        _ => {
            support::eventually(|| scene.lists.calls_since(down) > 0);
            // Not at the same time after a call for both.
            thread::sleep(AMID + Duration::from_millis(9) * who.0);
        }
    }
    let from = scene.lists.become_(Mood::Well);
    scene.holds(&format!("{who:?}, down: {mood:?}"), from, counted);
}

#[test]
fn asked_the_list_is_had_in_time_after_refusals_in_a_group_of_300() {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let moods = [Mood::Away, Mood::Reset, Mood::Sorry, Mood::Later(1000)];
    let all = moods.map(|mood| {
        ENDS.map(|who| thread::spawn(move || outage_of_300(who, mood, 10, PROPAGATION_DEADLINE)))
    });
    all_hold(all.into_iter().flatten().collect());
}

#[test]
fn asked_the_list_is_had_in_time_after_calls_that_hung_in_a_group_of_300() {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    // Such a call may wait at a service that can't keep up, and the settings give four times as long after it: 12 s.
    let all = [Mood::Mute, Mood::HeadOnly].map(|mood| {
        ENDS.map(|who| thread::spawn(move || outage_of_300(who, mood, 3, Duration::from_secs(12))))
    });
    all_hold(all.into_iter().flatten().collect());
}

#[test]
fn asked_a_line_that_is_only_late_costs_no_call_and_its_watch_is_heard() {
    let scene = Scene::of((150, 300), "ask", 10, false, false);
    let from = scene.lists.lines_every(Duration::from_millis(2550));
    thread::sleep(Duration::from_secs(9));
    // Three silences of 150 ms more than is waited for: the slot, which recurs after 3.1 s, lies in one at the most.
    let calls = scene.lists.calls_since(from);
    assert!(calls <= 1, "{calls} calls");
    let from = scene.lists.drain(0);
    scene.holds("lines that are late", from, Duration::ZERO);
}

#[test]
fn asked_a_group_that_is_too_large_for_the_time_is_logged_at_the_start() {
    for (group, times) in [(300, 0), (1000, 1)] {
        let gateway = support::Gateway::watched(support::Gateway::spawn(
            "n0",
            "platform",
            vec![],
            1,
            (1024, 1024),
            serde_json::json!({"way": "ask", "me": 0, "group": group}),
        ));
        support::eventually(|| gateway.logged(" listening ") > 0);
        assert_eq!(gateway.logged(" list-late "), times, "{group}");
    }
}
