//! The prompt cache of an emulated replica.

use tulipridge_simulator::replica::{PromptCache, PromptKey};

#[test]
fn over_capacity_the_least_recently_used_prompt_is_evicted() {
    let mut cache = PromptCache::default();
    for n in 0..4 {
        cache.insert(PromptKey::Session(n), 100, 400);
    }
    assert_eq!(cache.look_up(PromptKey::Session(0)), 100);
    cache.insert(PromptKey::Session(9), 100, 400);
    assert_eq!(
        (cache.look_up(PromptKey::Session(1)), cache.look_up(PromptKey::Session(0)), cache.total_tokens()),
        (0, 100, 400)
    );
    cache.insert(PromptKey::Session(0), 50, 400);
    assert_eq!(cache.total_tokens(), 350, "a replaced prompt counts once");
}
