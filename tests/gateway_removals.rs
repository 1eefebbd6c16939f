//! Upstreams whose rows disappear around an outage of the store. Some of them leave without
//! a word, and get no request after the bound; others live, and their rows only lapsed.

#[expect(dead_code, reason = "the soak uses the rest of it")]
#[path = "soak/proxy.rs"]
mod proxy;
mod support;

use std::{thread, time::Duration};

use proxy::{Link, Proxy};
use serde_json::json;
use support::gateways::{Site, configuration};

/// Time after the removal of its row in which an upstream that leaves may get requests.
const BOUND: Duration = Duration::from_secs(2);
/// Gateways of a site.
const GATEWAYS: usize = 4;
/// Upstreams that stay.
const STAYING: usize = 3;

/// What a request takes at an upstream that stays.
const WORK: Duration = ms(30);

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// How the store fails gateways, while upstreams and the operator reach it.
#[derive(Clone, Copy, Debug)]
struct Outage {
    /// How their calls end.
    kind: Kind,
    /// How many gateways it fails.
    gateways: usize,
    /// For how long.
    lasts: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// No answer comes, and connections of before are reset at the end.
    Silent,
    /// Each call is refused.
    Refusing,
}

/// Gateways that reach the store each by a link of its own.
struct Fleet {
    site: Site,
    links: Vec<Proxy>,
}

impl Fleet {
    fn start() -> Self {
        let mut site = Site::bare();
        site.configure(&configuration(7));
        let store = site.emulator_address("store");
        let links: Vec<Proxy> = (0..GATEWAYS).map(|_| Proxy::start()).collect();
        for link in &links {
            link.set_target(store);
            site.add_gateway_at(link.address, site.emulator_address("api"));
        }
        site.wait_ready();
        Self { site, links }
    }

    fn add_staying(&self) -> Vec<String> {
        let ids: Vec<String> =
            (0..STAYING).map(|_| self.site.add_upstream_of("app", "v1", WORK)).collect();
        ids.iter().for_each(|id| self.site.wait_known(id));
        ids
    }

    /// Sends calls as `Site::send_calls` does, from as many callers as upstreams stay.
    fn send_at_once(&self, name: &str, time: Duration) -> Vec<String> {
        thread::scope(|scope| {
            let send = |n| scope.spawn(move || self.site.send_calls(&format!("{name}-{n}"), time));
            let callers: Vec<_> = (0..STAYING).map(send).collect();
            callers.into_iter().flat_map(|c| c.join().expect("no panic")).collect()
        })
    }

    fn begin(&self, outage: Outage) {
        match outage.kind {
            Kind::Silent => self.failed(outage).for_each(|link| link.set_link(Link::Silent)),
            Kind::Refusing => self.site.store("refusing"),
        }
    }

    fn end(&self, outage: Outage) {
        self.site.store("up");
        if outage.kind == Kind::Silent {
            self.failed(outage).for_each(|link| {
                link.set_link(Link::Pass);
                link.reset();
            });
        }
    }

    fn failed(&self, outage: Outage) -> impl Iterator<Item = &Proxy> {
        self.links.iter().take(outage.gateways)
    }

    fn write_row(&self, id: &str, back: bool) {
        self.site.control("/remove", &json!({ "id": id, "back": back }));
    }
}

#[test]
fn an_upstream_whose_row_is_removed_around_an_outage_gets_nothing_after_the_bound() {
    struct Case {
        name: &'static str,
        outage: Outage,
        /// When it leaves, from the begin of the outage.
        leaves: Duration,
    }
    let silent = |gateways| Outage { kind: Kind::Silent, gateways, lasts: ms(1_700) };
    let refusing = Outage { kind: Kind::Refusing, gateways: GATEWAYS, lasts: ms(1_700) };
    let cases = [
        Case { name: "silent, just before the end", outage: silent(4), leaves: ms(1_500) },
        Case { name: "silent, just after the end", outage: silent(4), leaves: ms(2_000) },
        Case { name: "refusing, just before the end", outage: refusing, leaves: ms(1_500) },
        Case { name: "silent for some", outage: silent(3), leaves: ms(1_500) },
        Case { name: "silent for one", outage: silent(1), leaves: ms(1_500) },
    ];
    let fleet = Fleet::start();
    let mut late = Vec::new();
    for (n, case) in cases.iter().enumerate() {
        // All gateways use it first, so that they have connections to it and prefer it.
        let leaving = fleet.site.add_known_upstream("app");
        fleet.site.send_calls(&format!("before-{n}"), ms(400));
        let staying = fleet.add_staying();
        fleet.begin(case.outage);
        let (first, then) = (case.leaves.min(case.outage.lasts), case.outage.lasts);
        fleet.site.send_calls(&format!("during-{n}"), first);
        if case.leaves <= then {
            fleet.write_row(&leaving, false);
        }
        let removed = fleet.site.now_ms();
        thread::sleep(then.saturating_sub(first));
        fleet.end(case.outage);
        let removed = if case.leaves > then {
            fleet.site.send_calls(&format!("between-{n}"), case.leaves - then);
            fleet.write_row(&leaving, false);
            fleet.site.now_ms()
        } else {
            removed
        };
        fleet.site.send_calls(&format!("after-{n}"), 2 * BOUND);
        let last = fleet.site.last_run(&leaving);
        assert!(last > 0, "{}: it was used before", case.name);
        let after = ms(last.saturating_sub(removed));
        println!("{}: last reached after {after:?}", case.name);
        if after > BOUND {
            late.push(format!("{}: reached after {after:?}", case.name));
        }
        staying.iter().for_each(|id| fleet.write_row(id, false));
    }
    assert!(late.is_empty(), "{late:#?}");
}

#[test]
fn living_upstreams_whose_rows_lapse_in_an_outage_serve_on() {
    struct Case {
        name: &'static str,
        kind: Kind,
        /// How many of the rows lapse.
        lapsed: usize,
    }
    let cases = [
        Case { name: "all rows, silent", kind: Kind::Silent, lapsed: STAYING },
        Case { name: "all rows, refusing", kind: Kind::Refusing, lapsed: STAYING },
        Case { name: "one row", kind: Kind::Silent, lapsed: 1 },
    ];
    let fleet = Fleet::start();
    let upstreams = fleet.add_staying();
    for (n, case) in cases.iter().enumerate() {
        let outage = Outage { kind: case.kind, gateways: GATEWAYS, lasts: ms(3_000) };
        fleet.site.send_calls(&format!("before-{n}"), ms(400));
        fleet.begin(outage);
        let mut failed = fleet.site.send_calls(&format!("during-{n}"), outage.lasts);
        let lapsed = &upstreams[..case.lapsed];
        lapsed.iter().for_each(|id| fleet.write_row(id, false));
        fleet.end(outage);
        for id in lapsed {
            failed.extend(fleet.site.send_calls(&format!("lapsed-{n}-{id}"), ms(450)));
            fleet.write_row(id, true);
        }
        let back = fleet.site.now_ms();
        failed.extend(fleet.send_at_once(&format!("after-{n}"), BOUND));
        assert!(failed.is_empty(), "{}: {failed:?}", case.name);
        for id in &upstreams {
            assert!(fleet.site.last_run(id) > back, "{}: {id} is used again", case.name);
        }
    }
}
