//! The lease on the duties while the store falls silent for its holder alone.

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

/// Time in which nobody may order engines or report usage, at most: two renewals
/// that fail, a heartbeat, and the time after which the others suspect.
const LONGEST_GAP: Duration = Duration::from_millis(3_500);

/// Returns whether a gateway holds the lease, or held it first.
fn acquired(gateway: &GatewayProc) -> bool {
    gateway.log().iter().any(|l| l["event"] == "lease" && l["state"] == "acquired")
}

#[test]
fn a_holder_to_whom_the_store_is_silent_is_followed_within_seconds() {
    struct Case {
        name: &'static str,
        link: Link,
    }
    let cases = [
        Case { name: "nothing gets through", link: Link::Silent },
        Case { name: "no answer comes back", link: Link::OneWay },
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
        wait_until("one holds the lease", || site.gateways.iter().any(acquired));
        let holder = site.gateways.iter().position(acquired).expect("a holder");
        links[holder].set_link(case.link);
        let since = Instant::now();
        let others = || site.gateways.iter().enumerate().filter(|(i, _)| *i != holder);
        wait_until("another holds it", || others().any(|(_, g)| acquired(g)));
        let gap = since.elapsed();
        println!("{}: {gap:?}", case.name);
        assert!(gap < LONGEST_GAP, "{}: nobody held the lease for {gap:?}", case.name);
    }
}
