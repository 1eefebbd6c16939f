//! Malformed rows in the store. A row that cannot be decoded does not name an upstream, does
//! not affect other upstreams and does not keep a gateway from starting.

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

fn valid_entry() -> Value {
    json!({
        "service": "app", "address": "127.0.0.1:9", "zone": "bkk-nont", "version": "v1",
        "slots": 6, "state": "ready", "coldRemainingMs": 0, "sequence": 4,
        "born": 1_700_000_000_000_u64,
    })
}

fn entry_with(field: &str, value: Value) -> String {
    let mut entry = valid_entry();
    entry[field] = value;
    entry.to_string()
}

fn entry_without(field: &str) -> String {
    let mut entry = valid_entry();
    entry.as_object_mut().expect("an object").remove(field);
    entry.to_string()
}

#[test]
fn malformed_entries_are_rejected_with_a_cause() {
    struct Case {
        name: &'static str,
        row: String,
        cause: Option<&'static str>,
    }
    let case = |name, row, cause| Case { name, row, cause };
    let cases = [
        case("as published", valid_entry().to_string(), None),
        case("unknown field", entry_with("new", json!({"a": 1})), None),
        case("no start time", entry_without("born"), None),
        case("empty", String::new(), Some("unreadable")),
        case("truncated", valid_entry().to_string()[..40].to_owned(), Some("unreadable")),
        case("not JSON", "\u{1}\u{2}".to_owned(), Some("unreadable")),
        case("a JSON array", "[]".to_owned(), Some("field")),
        case("no service", entry_without("service"), Some("field")),
        case("no address", entry_without("address"), Some("field")),
        case("no data centre", entry_without("zone"), Some("field")),
        case("no slots", entry_without("slots"), Some("field")),
        case("no state", entry_without("state"), Some("field")),
        case("no version", entry_without("version"), Some("field")),
        case("no sequence number", entry_without("sequence"), Some("field")),
        case("service as a number", entry_with("service", json!(7)), Some("field")),
        case("invalid address", entry_with("address", json!("here")), Some("field")),
        case("slots as a string", entry_with("slots", json!("6")), Some("field")),
        case("zero slots", entry_with("slots", json!(0)), Some("field")),
        case("negative slots", entry_with("slots", json!(-6)), Some("field")),
        case("fractional start time", entry_with("born", json!(1.5)), Some("field")),
        case("start time as a string", entry_with("born", json!("1")), Some("field")),
        case("start time null", entry_with("born", Value::Null), Some("field")),
        case("unknown state", entry_with("state", json!("resting")), Some("state")),
        case("capitalised state", entry_with("state", json!("Ready")), Some("state")),
        case("leave time out of range", entry_with("leaves_ms", json!(1e300)), Some("time")),
    ];
    for case in cases {
        let decoded = decode_upstream("i-1".to_owned(), case.row.as_bytes());
        let cause = decoded.as_ref().err().map(|e| e.cause());
        assert_eq!(cause, case.cause, "{}", case.name);
    }
}

/// The id of an upstream is sent in a header, and receivers drop blanks around its value.
#[test]
fn entries_whose_id_no_header_carries_are_rejected() {
    struct Case {
        id: &'static str,
        cause: Option<&'static str>,
    }
    let case = |id, cause| Case { id, cause };
    let cases = [
        case("i-7f3a91c2", None),
        case("i-1&x", None),
        case("i-1%41", None),
        case("~", None),
        case("", Some("id")),
        case(" ", Some("id")),
        case("i-1 ", Some("id")),
        case("i 1", Some("id")),
        case("i-1\n", Some("id")),
        case("i-1\0", Some("id")),
        case("i-1\u{7f}", Some("id")),
        case("i-\u{e4}", Some("id")),
    ];
    for case in cases {
        let decoded = decode_upstream(case.id.to_owned(), valid_entry().to_string().as_bytes());
        assert_eq!(decoded.err().map(|e| e.cause()), case.cause, "{:?}", case.id);
    }
}

#[test]
fn malformed_entry_removes_only_its_own_upstream() {
    let site = Site::start(2, 0, 2);
    let malformed =
        [entry_with("state", json!("resting")), "\u{1}".to_owned(), entry_without("slots")];
    for (i, text) in malformed.iter().enumerate() {
        site.write_entry("i-1", text);
        let is_gone = |g: &support::gateways::GatewayProc| {
            let log = g.log();
            let mut states = log.iter().filter(|l| l["upstream"] == "i-1");
            states.next_back().is_some_and(|l| l["state"] == "gone")
        };
        wait_until("both gateways have dropped i-1", || site.gateways.iter().all(is_gone));
        for n in 0..4 {
            let id = format!("r-{i}-{n}");
            let answer = Call::new("POST", "/confirm/x", &id).send(site.gateways[n % 2].callers);
            assert_eq!(answer.expect("an answer").status, StatusCode::OK, "{text}");
            assert_eq!(site.runs(&id)[0]["upstream"], "i-2", "{text}");
        }
        site.control("/remove", &json!({ "id": "i-1", "back": true }));
        let is_ready = |g: &support::gateways::GatewayProc| {
            let log = g.log();
            let mut states = log.iter().filter(|l| l["upstream"] == "i-1");
            states.next_back().is_some_and(|l| l["state"] == "ready")
        };
        wait_until("both gateways see i-1 as ready again", || site.gateways.iter().all(is_ready));
    }
    let rejected: usize = site.gateways.iter().map(|g| rejected_entry_count(&g.log())).sum();
    assert!(rejected >= malformed.len(), "each malformed entry is logged");
    let counted = site.gateways.iter().any(|g| g.metrics().contains("rejected_entries_total"));
    assert!(counted, "rejected entries are counted in the metrics");
}

fn rejected_entry_count(log: &[Value]) -> usize {
    log.iter().filter(|l| l["event"] == "entry_rejected").count()
}

#[test]
fn gateway_starts_with_malformed_entries_in_the_store() {
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
    assert_eq!(
        rejected_entry_count(&site.gateways[0].log()),
        2,
        "one log line for each malformed row"
    );
}

const CONFIGURATION: &[u8] = include_bytes!("data/platform_configuration.json");

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// No decoder panics on arbitrary bytes, and none takes them for an upstream or a
    /// configuration.
    #[test]
    fn decoders_do_not_panic_on_arbitrary_bytes(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(decode_upstream("i-1".to_owned(), &bytes).is_err());
        prop_assert!(decode_configuration(&bytes).is_err());
        drop(Datagram::decode(&bytes));
        drop(UpstreamSnapshot::decode(&bytes));
        drop(DurableState::decode(&bytes));
    }

    /// A valid document with some bytes changed decodes to an error or to a message whose
    /// times can be added to an `Instant` without overflow.
    #[test]
    fn decoders_do_not_panic_on_corrupted_documents(
        changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..8),
    ) {
        let corrupt = |document: &[u8]| {
            let mut document = document.to_vec();
            for (at, byte) in &changes {
                let at = at.index(document.len());
                document[at] = *byte;
            }
            document
        };
        let now = std::time::Instant::now();
        if let Ok(cfg) = decode_configuration(&corrupt(CONFIGURATION)) {
            for route in &cfg.routes {
                prop_assert!(now.checked_add(route.timeout).is_some());
            }
        }
        let row = entry_with("leaves_ms", json!(2_400));
        if let Ok(upstream) = decode_upstream("i-1".to_owned(), &corrupt(row.as_bytes())) {
            prop_assert!(upstream.slots > 0);
        }
    }

    /// Times of any size decode without a panic and can be added to an `Instant`.
    #[test]
    fn times_of_any_size_do_not_overflow(number in any::<f64>()) {
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
