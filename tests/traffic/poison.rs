//! Strikes give the same suspicion in any order and number of deliveries.

use super::proptest_config;
use coriandertide::decision::poison::{PoisonState, REFUSAL_STRIKES, Strike, Suspicion};
use proptest::prelude::*;
use smol_str::format_smolstr;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

fn strike() -> impl Strategy<Value = Strike> {
    (0..4_u64, 0..3_u8, 1..3_u64).prop_map(|(fingerprint, server, incarnation)| Strike {
        fingerprint,
        server: format_smolstr!("s{server}"),
        incarnation,
    })
}

proptest! {
    #![proptest_config(proptest_config(43))]

    #[test]
    fn strikes_count_once_per_server_in_any_order(
        strikes in proptest::collection::vec(strike(), 0..40),
    ) {
        let now = Instant::now();
        let mut state = PoisonState::default();
        let mut added = BTreeSet::new();
        for strike in &strikes {
            prop_assert_eq!(state.add(strike.clone(), now), added.insert(strike.clone()));
        }
        for fingerprint in 0..4 {
            let crashes = |fingerprint: u64| -> BTreeSet<_> {
                let of_request = added.iter().filter(|strike| strike.fingerprint == fingerprint);
                of_request.map(|strike| (&strike.server, strike.incarnation)).collect()
            };
            let is_shared = (0..4)
                .filter(|other| *other != fingerprint)
                .any(|other| crashes(fingerprint).is_subset(&crashes(other)));
            let servers: BTreeSet<_> = added
                .iter()
                .filter(|strike| strike.fingerprint == fingerprint)
                .map(|strike| &strike.server)
                .collect();
            let suspicion = state.view().suspicion(fingerprint, now);
            match servers.len() {
                0 => prop_assert_eq!(suspicion, Suspicion::None),
                count if count < REFUSAL_STRIKES || (count == REFUSAL_STRIKES && is_shared) => {
                    prop_assert_eq!(suspicion, Suspicion::Suspect);
                }
                _ => prop_assert!(matches!(suspicion, Suspicion::Refused { .. }), "not refused"),
            }
        }
    }
}

#[test]
fn strikes_expire_and_a_completed_request_is_cleared() {
    let now = Instant::now();
    let later = now + Duration::from_secs(3_601);
    let strike = |server: &str| Strike { fingerprint: 7, server: server.into(), incarnation: 1 };
    let mut state = PoisonState::default();
    state.add(strike("a"), now);
    assert_eq!(state.view().suspicion(7, now), Suspicion::Suspect);
    state.clear_strikes(7);
    assert_eq!(state.view().suspicion(7, now), Suspicion::None);
    assert!(
        !state.add(strike("a"), now),
        "a cleared strike that is delivered again changes nothing"
    );
    assert_eq!(state.view().suspicion(7, now), Suspicion::None);
    state.add(strike("b"), now);
    assert_eq!(state.view().suspicion(7, now), Suspicion::Suspect);
    assert_eq!(state.view().suspicion(7, later), Suspicion::None);
}
