//! Rows of the store that others wrote: what cannot be read names nothing, spoils
//! nothing and stops nobody.

mod support;

use hyper::StatusCode;
use proptest::prelude::*;
use serde_json::{Value, json};
use support::{
    gateways::{Call, Site},
    wait_until,
};
use tackhollow::{
    gateway::{
        decide::DurableState,
        peering::{Datagram, UpstreamSnapshot},
    },
    platform::{decode_configuration, decode_upstream},
};

fn entry() -> Value {
    json!({
        "service": "app", "address": "127.0.0.1:9", "zone": "bkk-nont", "version": "v1",
        "slots": 6, "state": "ready", "coldRemainingMs": 0, "sequence": 4,
        "born": 1_700_000_000_000_u64,
    })
}

fn entry_with(field: &str, value: Value) -> String {
    let mut entry = entry();
    entry[field] = value;
    entry.to_string()
}

fn entry_without(field: &str) -> String {
    let mut entry = entry();
    entry.as_object_mut().expect("an object").remove(field);
    entry.to_string()
}

#[test]
fn an_entry_names_an_upstream_or_says_why_not() {
    struct Case {
        name: &'static str,
        row: String,
        cause: Option<&'static str>,
    }
    let case = |name, row, cause| Case { name, row, cause };
    let cases = [
        case("as published", entry().to_string(), None),
        case("a field that is new", entry_with("new", json!({"a": 1})), None),
        case("does not say when it started", entry_without("born"), None),
        case("no bytes", String::new(), Some("unreadable")),
        case("half of it", entry().to_string()[..40].to_owned(), Some("unreadable")),
        case("not JSON", "\u{1}\u{2}".to_owned(), Some("unreadable")),
        case("a list", "[]".to_owned(), Some("field")),
        case("no service", entry_without("service"), Some("field")),
        case("no address", entry_without("address"), Some("field")),
        case("no data centre", entry_without("zone"), Some("field")),
        case("no slots", entry_without("slots"), Some("field")),
        case("no state", entry_without("state"), Some("field")),
        case("no version", entry_without("version"), Some("field")),
        case("no count of orders", entry_without("sequence"), Some("field")),
        case("service of another type", entry_with("service", json!(7)), Some("field")),
        case("address of another type", entry_with("address", json!("here")), Some("field")),
        case("slots as a text", entry_with("slots", json!("6")), Some("field")),
        case("no room", entry_with("slots", json!(0)), Some("field")),
        case("less than no room", entry_with("slots", json!(-6)), Some("field")),
        case("start as a fraction", entry_with("born", json!(1.5)), Some("field")),
        case("start as a text", entry_with("born", json!("1")), Some("field")),
        case("start without a value", entry_with("born", Value::Null), Some("field")),
        case("unknown state", entry_with("state", json!("resting")), Some("state")),
        case("state of another case", entry_with("state", json!("Ready")), Some("state")),
        case("leaves at no time", entry_with("leaves_ms", json!(1e300)), Some("time")),
    ];
    for case in cases {
        let decoded = decode_upstream("i-1".to_owned(), case.row.as_bytes());
        let cause = decoded.as_ref().err().map(|e| e.cause());
        assert_eq!(cause, case.cause, "{}", case.name);
    }
}

#[test]
fn a_bad_entry_takes_its_engine_out_and_no_other() {
    let site = Site::start(2, 0, 2);
    let bad = [entry_with("state", json!("resting")), "\u{1}".to_owned(), entry_without("slots")];
    for (i, text) in bad.iter().enumerate() {
        site.write_entry("i-1", text);
        let told = |g: &support::gateways::GatewayProc| {
            let log = g.log();
            let mut states = log.iter().filter(|l| l["upstream"] == "i-1");
            states.next_back().is_some_and(|l| l["state"] == "gone")
        };
        wait_until("both gateways know", || site.gateways.iter().all(told));
        for n in 0..4 {
            let id = format!("r-{i}-{n}");
            let answer = Call::new("POST", "/confirm/x", &id).send(site.gateways[n % 2].callers);
            assert_eq!(answer.expect("an answer").status, StatusCode::OK, "{text}");
            assert_eq!(site.runs(&id)[0]["upstream"], "i-2", "{text}");
        }
        site.control("/remove", &json!({ "id": "i-1", "back": true }));
        let back = |g: &support::gateways::GatewayProc| {
            let log = g.log();
            let mut states = log.iter().filter(|l| l["upstream"] == "i-1");
            states.next_back().is_some_and(|l| l["state"] == "ready")
        };
        wait_until("it is back", || site.gateways.iter().all(back));
    }
    let rejected: usize = site.gateways.iter().map(|g| rejections(&g.log())).sum();
    assert!(rejected >= bad.len(), "each cause is told");
    let counted = site.gateways.iter().any(|g| g.metrics().contains("rejected_entries_total"));
    assert!(counted, "and counted");
}

fn rejections(log: &[Value]) -> usize {
    log.iter().filter(|l| l["event"] == "entry_rejected").count()
}

#[test]
fn a_gateway_starts_beside_entries_of_others() {
    let mut site = Site::bare();
    site.configure(&support::gateways::configuration(7));
    site.add_upstream("app");
    site.write_entry("i-x", "\u{0}\u{7f}");
    site.write_entry("i-y", &entry_with("state", json!("")));
    site.write_entry("i-z", &entry_with("service", json!("nobody's")));
    site.add_gateway();
    site.wait_ready();
    let answer = Call::new("POST", "/confirm/x", "r-1").send(site.gateways[0].callers);
    assert_eq!(answer.expect("an answer").status, StatusCode::OK);
    assert_eq!(rejections(&site.gateways[0].log()), 2, "one line for each row");
}

const CONFIGURATION: &[u8] = include_bytes!("data/platform_configuration.json");

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Whatever bytes others leave, each decoder returns.
    #[test]
    fn decoders_take_any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(decode_upstream("i-1".to_owned(), &bytes).is_err());
        prop_assert!(decode_configuration(&bytes).is_err());
        drop(Datagram::decode(&bytes));
        drop(UpstreamSnapshot::decode(&bytes));
        drop(ciborium::from_reader::<DurableState, _>(&bytes[..]));
    }

    /// Published documents with some bytes changed: an error, or a message whose
    /// times can be added to a clock.
    #[test]
    fn decoders_take_spoilt_documents(
        changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..8),
    ) {
        let spoil = |document: &[u8]| {
            let mut document = document.to_vec();
            for (at, byte) in &changes {
                let at = at.index(document.len());
                document[at] = *byte;
            }
            document
        };
        let now = std::time::Instant::now();
        if let Ok(cfg) = decode_configuration(&spoil(CONFIGURATION)) {
            for route in &cfg.routes {
                prop_assert!(now.checked_add(route.timeout).is_some());
            }
        }
        let row = entry_with("leaves_ms", json!(2_400));
        if let Ok(upstream) = decode_upstream("i-1".to_owned(), &spoil(row.as_bytes())) {
            prop_assert!(upstream.slots > 0);
        }
    }

    /// A number of any size in place of each time.
    #[test]
    fn times_of_any_size_are_taken(number in any::<f64>()) {
        let text = String::from_utf8_lossy(CONFIGURATION).replace("15000", &format!("{number:e}"));
        if let Ok(cfg) = decode_configuration(text.as_bytes()) {
            let now = std::time::Instant::now();
            for route in &cfg.routes {
                prop_assert!(now.checked_add(route.timeout).is_some());
            }
        }
        drop(decode_upstream("i-1".to_owned(), entry_with("leaves_ms", json!(number)).as_bytes()));
    }
}
