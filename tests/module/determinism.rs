//! The same events give the same actions.

use tulipridge::types::*;

use crate::gateway::*;

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut gateway = TestGateway::new(settings(Effect::Safe), &members(12));
        let mut all = Vec::new();
        let mut state = 1u64;
        for session in 0..600 {
            state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            let (id, actions) = gateway.request(session % 50, (session % 3 == 0).then_some(session % 7));
            let out = destination(&actions).is_some();
            all.extend(actions);
            if out && state >> 62 != 0 {
                let verdict = [Verdict::Ok, Verdict::Error, Verdict::Full, Verdict::Reset];
                all.extend(gateway.outcome(id, verdict[(state >> 40) as usize % 4]));
            }
            all.extend(gateway.advance(20 * MILLI));
        }
        all
    };
    assert_eq!(run(), run());
}
