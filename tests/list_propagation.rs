//! Propagation of a drain from the list service: after the propagation deadline and the grace period, a
//! drained replica gets no new request, even if the change did not reach the gateway. The gateway makes no
//! long-polling calls: a watch is one response that stays open. A call that hangs is thus abandoned and
//! repeated within the deadline, in whichever phase it hangs.

mod support;

use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use support::list_propagation::{Mood, Scene};

/// A change that an idle watch misses must be applied within this time after the watch became idle.
const PROPAGATION_DEADLINE: Duration = Duration::from_secs(6);
/// Delay of a drain after the start of an idle phase or an outage.
const AMID: Duration = Duration::from_millis(500);
/// Length of an outage of the list service; longer than the timeout of an idle watch.
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

/// The watch is reset, and the next call hangs as `behaviour` says.
fn hanging(way: &str, mood: Mood) {
    let scene = Scene::new(way, 10, false, false);
    scene.lists.become_(Mood::Reset);
    // By then open watches are reset. Calls made meanwhile are reset too.
    thread::sleep(Duration::from_millis(50));
    let from = scene.lists.become_(mood);
    support::eventually(|| scene.lists.calls_since(from) > 0);
    scene.lists.drain(0);
    thread::sleep(AMID);
    scene.lists.become_(Mood::Well);
    // One second is reserved for the wait of a gateway in a larger group for its slot.
    scene.holds(&format!("{way}, {mood:?}"), from, PROPAGATION_DEADLINE - Duration::from_secs(1));
}

#[test]
fn a_call_whose_answer_hangs_is_made_again_in_time() {
    let moods = [Mood::Mute, Mood::HeadOnly, Mood::LateHead(2400)];
    let all = ["ask", "push"].map(|way| moods.map(|mood| thread::spawn(move || hanging(way, mood))));
    all.into_iter().flatten().for_each(|one| one.join().expect("it holds"));
}

/// A drain during an outage of the list service.
fn outage(way: &str, mood: Mood, counted: Duration) {
    let scene = Scene::new(way, 1, false, false);
    if way == "ask" {
        // An outage ends open watches.
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
    // The local agent already has the change, so no time is permitted for it.
    let all = DOWNS.map(|mood| thread::spawn(move || outage("push", mood, Duration::ZERO)));
    all.into_iter().for_each(|one| one.join().expect("it holds"));
}

#[test]
fn asked_the_list_is_had_in_time_after_an_outage() {
    // The maximum age of the list is 1 s here, and the settings permit four times as much after a failed
    // call.
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
    // The gateway takes requests once it listens, which depends on the speed of the machine.
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

/// The first and last gateway of a group of 300, whose slots are at the ends of the window.
const ENDS: [(u32, u32); 2] = [(0, 300), (299, 300)];

/// Serializes the tests with groups of 300, which would overload a small machine if run at once.
static ALONE: Mutex<()> = Mutex::new(());

/// Runs the scenario for both ends of a group, after delays that cover a window of up to 5.5 s. Each
/// gateway calls in a slot that recurs on a shared clock, and opens its first watch in it. Whether a call
/// is late thus depends on when the event happens relative to the slot.
fn at_any_instant(play: fn((u32, u32), Duration)) {
    let all = (0..7)
        .flat_map(|n| ENDS.map(|who| thread::spawn(move || play(who, Duration::from_millis(800) * n))));
    all_hold(all.collect());
}

/// Joins all threads before it fails, so that none continues to run.
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

/// A drain during an outage that is long enough for calls to fail.
fn outage_of_300(who: (u32, u32), mood: Mood, ask_within_s: u64, counted: Duration) {
    let scene = Scene::of(who, "ask", ask_within_s, false, false);
    scene.lists.become_(Mood::Reset);
    thread::sleep(Duration::from_millis(20));
    let down = scene.lists.become_(mood);
    thread::sleep(AMID);
    scene.lists.drain(0);
    match mood {
        // No calls are seen; this is longer than any gateway waits for its first slot.
        Mood::Away => thread::sleep(Duration::from_millis(6500)),
        _ => {
            support::eventually(|| scene.lists.calls_since(down) > 0);
            // Different delays after a call for the two gateways.
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
    // Such a call may be queued at an overloaded service. The settings permit four times the maximum age
    // after it: 12 s.
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
    // Three times the watch is idle for 150 ms more than the timeout. The slot recurs after 3.1 s and is in
    // at most one of these intervals.
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
