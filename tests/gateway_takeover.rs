//! The lease on the singleton duties when only its holder loses contact with the store.

#[expect(dead_code, reason = "the soak uses the rest of it")]
#[path = "soak/proxy.rs"]
mod proxy;
mod support;

use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use proxy::{Link, Proxy};
use support::{
    gateways::{GatewayProc, Site, configuration},
    wait_until,
};

/// Maximum time without a holder that may order engines or report usage: two failed renewals,
/// a heartbeat, and the time after which other gateways suspect the holder.
const MAX_GAP: Duration = Duration::from_millis(3_500);

/// Returns whether a gateway has acquired the lease.
fn acquired(gateway: &GatewayProc) -> bool {
    gateway.log().iter().any(|l| l["event"] == "lease" && l["state"] == "acquired")
}

#[test]
fn a_holder_that_loses_the_store_is_replaced_within_seconds() {
    struct Case {
        name: &'static str,
        link: Link,
    }
    let cases = [
        Case { name: "no traffic in either direction", link: Link::Silent },
        Case { name: "requests arrive, answers are lost", link: Link::OneWay },
    ];
    for case in cases {
        let mut site = Site::bare();
        site.configure(&configuration(7));
        site.add_upstream("app");
        let links: Vec<Proxy> = (0..3).map(|_| Proxy::start()).collect();
        for link in &links {
            link.set_target(site.emulator_address("store"));
            site.add_gateway_at(link.address, site.emulator_address("api"));
        }
        site.wait_ready();
        wait_until("a gateway holds the lease", || site.gateways.iter().any(acquired));
        let holder = site.gateways.iter().position(acquired).expect("a holder");
        links[holder].set_link(case.link);
        let since = Instant::now();
        let others = || site.gateways.iter().enumerate().filter(|(i, _)| *i != holder);
        wait_until("another gateway holds it", || others().any(|(_, g)| acquired(g)));
        let gap = since.elapsed();
        println!("{}: {gap:?}", case.name);
        assert!(gap < MAX_GAP, "{}: nobody held the lease for {gap:?}", case.name);
    }
}

/// Returns when the gateway's lease last came into this state, in milliseconds of the log's clock.
fn last_change(gateway: &GatewayProc, state: &str) -> Option<u64> {
    let log = gateway.log();
    let line = log.iter().rfind(|l| l["event"] == "lease" && l["state"] == state);
    line.and_then(|l| l["time_ms"].as_u64())
}

/// Guards against holders that act in the order A, B, A within the bound in a rolling restart: a
/// killed process must not be all that knows of its host's earlier lease.
#[test]
fn a_host_whose_process_was_killed_after_it_gave_the_lease_back_waits_for_the_bound() {
    /// Bound of the site's settings within which two holders may not act alternately.
    const BOUND_MS: u64 = 3_000;
    let mut site = Site::start(2, 0, 1);
    wait_until("a gateway holds the lease", || site.gateways.iter().any(acquired));
    let first = site.gateways.iter().position(acquired).expect("a holder");
    let second = 1 - first;
    site.gateways[first].signal(Signal::SIGTERM);
    wait_until("the other holds it", || acquired(&site.gateways[second]));
    let given_back = last_change(&site.gateways[first], "given_back").expect("a lease given back");
    site.gateways[first].kill();
    site.gateways[first].restart();
    wait_until("the first has restarted", || site.gateways[first].has_started());
    site.gateways[second].signal(Signal::SIGTERM);
    let again = || last_change(&site.gateways[first], "acquired").filter(|at| *at > given_back);
    wait_until("the first holds the lease again", || again().is_some());
    let pause = again().expect("a later lease") - given_back;
    println!("the first host acts again after {pause} ms");
    assert!(pause > BOUND_MS, "a host acts again {pause} ms after it gave the lease back");
    assert!(pause < 3 * BOUND_MS, "nobody held the lease for {pause} ms");
}
