//! The lease on the singleton duties when only its holder loses contact with the store.

#[expect(dead_code, reason = "the soak uses the rest of it")]
#[path = "soak/proxy.rs"]
mod proxy;
mod support;

use std::time::{Duration, Instant};

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
