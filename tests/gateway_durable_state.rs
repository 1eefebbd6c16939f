//! Size of the state that the holder of the lease stores: it is written together with the renewal
//! of the lease, and the store refuses rows above its bound.

use std::{collections::BTreeMap, time::Instant};

use tackhollow::gateway::decide::{
    CapacityRecord, DurableState, QuotaLimiter, UsageCounters, UsageCounts,
};

/// Largest value of a row that the store accepts, in bytes.
const ROW_BYTES: usize = 65_536;
/// Length of a usage window, in seconds.
const WINDOW_SECONDS: usize = 5;
const WINDOWS: u64 = 4;

#[derive(Clone, Copy, Debug)]
struct Case {
    gateways: usize,
    customers: usize,
    requests_per_second: usize,
    /// Windows that are stored.
    stored: usize,
}

/// Returns usage as the holder knows it: every gateway reports, whether or not it served anybody.
fn usage(case: Case) -> UsageCounters {
    let mut rng = fastrand::Rng::with_seed(7);
    let mut usage = UsageCounters::default();
    let process = |n: usize| format!("frontend-bkk-bangna-{n}.{:x}", 0x1234_5678_9abc_0000 + n);
    for window in 0..WINDOWS {
        for gateway in 0..case.gateways {
            usage.open_window(&process(gateway), window);
        }
        for _ in 0..case.requests_per_second * WINDOW_SECONDS {
            let customer = format!("hule{:03}", rng.usize(..case.customers));
            usage.count(&process(rng.usize(..case.gateways)), window, &customer);
        }
    }
    usage
}

#[test]
fn stored_state_fits_a_row_whatever_the_number_of_gateways_and_customers() {
    let cases = [
        Case { gateways: 7, customers: 16, requests_per_second: 200, stored: 4 },
        Case { gateways: 195, customers: 16, requests_per_second: 1_000, stored: 4 },
        Case { gateways: 985, customers: 333, requests_per_second: 430, stored: 3 },
        Case { gateways: 2_000, customers: 700, requests_per_second: 900, stored: 1 },
        Case { gateways: 1_500, customers: 1_000, requests_per_second: 45_000, stored: 0 },
    ];
    for case in cases {
        let usage = usage(case);
        let customers = (0..case.customers).map(|n| (format!("hule{n:03}"), 9_000.0));
        let levels: BTreeMap<_, _> = customers.collect();
        let state = DurableState::of(levels, &usage, CapacityRecord::default());
        let (bytes, left_out) = state.encode().expect("the state is encoded");
        println!("{case:?}: {} bytes, {left_out} windows left out", bytes.len());
        assert!(bytes.len() < ROW_BYTES, "{case:?}: {} bytes", bytes.len());
        assert!(WINDOWS as usize - left_out >= case.stored, "{case:?}: {left_out} left out");
        let now = Instant::now();
        let mut restored = UsageCounters::default();
        let decoded = DurableState::decode(&bytes).expect("the state is decoded");
        decoded.restore(&mut QuotaLimiter::new(now), &mut restored, false, now);
        for window in left_out as u64..WINDOWS {
            assert_eq!(restored.total(window), usage.total(window), "{case:?}, window {window}");
        }
    }
}

#[test]
fn a_window_in_which_nobody_counted_is_restored_as_well() {
    let now = Instant::now();
    let mut usage = UsageCounters::default();
    usage.open_window("gateway-1", 6);
    usage.count("gateway-1", 7, &"temple".to_owned());
    let state = DurableState::of(BTreeMap::new(), &usage, CapacityRecord::default());
    let mut restored = UsageCounters::default();
    state.restore(&mut QuotaLimiter::new(now), &mut restored, false, now);
    assert_eq!(restored.windows_before(8), vec![6, 7]);
    assert_eq!(restored.total(6), UsageCounts::new());
}
