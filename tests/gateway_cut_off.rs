//! Gateways that are cut off from all upstreams, while callers, the store and the other gateways
//! still reach them.

mod support;

use std::{thread, time::Duration};

use support::{
    gateways::Site,
    signals::{CallResult, call_repeatedly},
};

/// Time from the beginning of a cut until callers must be served again.
const GRACE: Duration = Duration::from_secs(3);
/// How long callers are then observed.
const OBSERVED: Duration = Duration::from_secs(4);
/// Callers of each gateway.
const CALLERS: usize = 8;
/// Smallest share of served calls at gateways that are not cut off.
const MIN_REFERENCE_SHARE: f64 = 0.95;
/// Smallest tolerated share of served calls at gateways that are cut off, relative to the others.
const MIN_RELATIVE_SHARE: f64 = 2.0 / 3.0;

struct Case {
    name: &'static str,
    gateways: usize,
    /// The first gateways are cut off.
    cut_off: usize,
    cut: &'static str,
    stream: bool,
    disabled: &'static [&'static str],
}

fn served_share(calls: &[&CallResult]) -> f64 {
    let served = calls.iter().filter(|c| c.is_served()).count();
    served as f64 / calls.len().max(1) as f64
}

/// Returns a description of the failure, if there is one.
fn failure(case: &Case) -> Option<String> {
    let (engines, plain) = if case.stream { (4, 0) } else { (0, 4) };
    let mut site = Site::start(0, engines, plain);
    site.disabled_mechanisms = case.disabled.to_vec();
    (0..case.gateways).for_each(|_| site.add_gateway());
    site.wait_ready();
    let cut_off: Vec<usize> = (0..case.cut_off).collect();
    // Opens fewer connections than are needed later.
    call_repeatedly(&site, 1, case.stream, || thread::sleep(Duration::from_millis(500)));
    site.cut_off(&cut_off, case.cut);
    call_repeatedly(&site, CALLERS, case.stream, || thread::sleep(GRACE));
    let calls = call_repeatedly(&site, CALLERS, case.stream, || thread::sleep(OBSERVED));
    let (there, others): (Vec<_>, Vec<_>) = calls.iter().partition(|c| c.gateway < case.cut_off);
    let (share, reference) = (served_share(&there), served_share(&others));
    println!("{}: {share:.3} of {} served, others {reference:.3}", case.name, there.len());
    let enough = share >= reference * MIN_RELATIVE_SHARE && reference > MIN_REFERENCE_SHARE;
    (!enough).then(|| format!("{}: {share:.3} served, others {reference:.3}", case.name))
}

const CASE: Case = Case {
    name: "new and open connections hang",
    gateways: 5,
    cut_off: 2,
    cut: "hang",
    stream: false,
    disabled: &[],
};

/// Without the mechanism, the check must fail.
#[test]
fn callers_of_gateways_cut_off_are_not_served_without_tunnels() {
    let failed = failure(&Case { disabled: &["tunnels"], ..CASE });
    assert!(failed.is_some(), "the check passes without tunnels");
}

#[test]
fn callers_of_gateways_cut_off_from_all_upstreams_are_served() {
    let cases = [
        Case { name: "streams", stream: true, ..CASE },
        Case { name: "open connections are reset", cut: "reset", ..CASE },
        Case { name: "open connections live on", cut: "hang_new", ..CASE },
        Case { name: "most gateways", cut_off: 4, ..CASE },
        CASE,
    ];
    let failures: Vec<String> = cases.iter().filter_map(failure).collect();
    assert!(failures.is_empty(), "{failures:#?}");
}

#[test]
fn callers_of_gateways_whose_new_connections_are_accepted_and_reset_are_served() {
    let failure = failure(&Case { name: "connections are reset", cut: "reset_accepted", ..CASE });
    assert!(failure.is_none(), "{failure:?}");
}

#[test]
fn callers_of_a_gateway_whose_connections_fail_at_once_are_served() {
    let mut site = Site::start(2, 2, 2);
    site.add_gateway_without_upstreams();
    site.wait_ready();
    for stream in [false, true] {
        let calls = call_repeatedly(&site, CALLERS, stream, || thread::sleep(OBSERVED / 2));
        let (there, others): (Vec<_>, Vec<_>) = calls.iter().partition(|c| c.gateway == 2);
        assert!(!there.is_empty(), "calls arrive at the gateway");
        assert_eq!((served_share(&there), served_share(&others)), (1.0, 1.0), "stream: {stream}");
    }
}
