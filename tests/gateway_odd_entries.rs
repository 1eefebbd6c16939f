//! Entries of other writers in the store's list of upstreams. One that names no upstream costs itself
//! only, whatever its name and wherever in the list it stands.

mod support;

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use hyper::StatusCode;
use serde_json::{Value, json};
use support::{
    gateways::{Call, GatewayProc, Site, configuration},
    wait_until, wait_until_for,
};
use tackhollow::platform::{StoreClient, Table};
use tokio::{runtime::Builder, task::LocalSet, time::timeout};

/// Time after a restart of all gateways within which callers must be served.
const RECOVERY: Duration = Duration::from_secs(12);
/// Time in which a list of a few pages must have been read.
const READ_TIME: Duration = Duration::from_secs(2);
/// Time in which a request that cannot be served must be refused.
const AT_ONCE: Duration = Duration::from_millis(400);
/// Value of an entry that describes no upstream.
const FOREIGN_VALUE: &str = r#"{"owner":"inventory"}"#;

/// Longest key that the store takes, in bytes.
const MAX_KEY_BYTES: usize = 200;

/// Names of odd entries. The sound ones are `i-1`, `i-2` and so on.
#[rustfmt::skip]
const NAMES: &[&str] = &[
    // Characters with a meaning in a query, and those that no target may hold.
    "i-1&x", "i-1+x", "i-1#x", "i-1 x", "i-1\"x", "i-1<x>", "i-1\tx", "i-1\rx", "i-1\nx", "i-1\0x",
    "i-1\u{7f}x", "&", "+", "#", "%", " ", "&table=op", "zz&", "zz%",
    // Escapes, whole and malformed.
    "i-1%00", "i-1%", "i-1%4", "i-1%zz", "i%0004", "i%41", "i%2D2",
    // Others.
    "i-1?x", "i-1=x", "i-1/x", "i-1;x", "i-1\\x", "i-1{x", "i-1|x", "i-1^x", ".", "..", "", "~",
    "i-\u{e4}", "i-1\u{1f980}",
];

/// Returns the names of odd entries, among them some that are as long as the store allows.
fn names() -> Vec<String> {
    let longest = |with: &str| format!("i-1{}", with.repeat(MAX_KEY_BYTES - 3));
    let names = NAMES.iter().map(|name| (*name).to_owned());
    names.chain(["x", "&"].map(longest)).collect()
}

/// Page sizes with which the entry at `index` is the last one of a page, the first one of the next page
/// and neither, where the list allows it.
fn page_sizes(index: usize) -> Vec<usize> {
    let sizes = BTreeSet::from([index + 1, index, index + 2]);
    sizes.into_iter().filter(|rows| *rows > 0).collect()
}

fn write_foreign(site: &Site, name: &str) {
    site.write_entry(name, FOREIGN_VALUE);
}

fn remove_entry(site: &Site, name: &str) {
    site.control("/entry", &json!({ "id": name, "text": null }));
}

/// Reads the keys of the list of upstreams as a gateway does; fails with what went wrong.
fn read_keys(site: &Site) -> Result<Vec<String>, String> {
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
    let client = StoreClient::new(site.emulator_address("store"));
    let reading = async { timeout(READ_TIME, client.snapshot(Table::Upstreams)).await };
    let read = LocalSet::new().block_on(&runtime, reading);
    let list = read.map_err(|_elapsed| "no end".to_owned())?.map_err(|e| e.to_string())?;
    Ok(list.rows.into_iter().map(|row| row.key).collect())
}

/// Guards against a part of the list that is taken for the whole, and against a read without end.
#[test]
fn a_list_is_read_whole_whatever_names_its_entries_have() {
    let site = Site::bare();
    let sound: BTreeSet<String> = (1..=10).map(|n| format!("i-{n}")).collect();
    sound.iter().for_each(|id| site.write_entry(id, "{}"));
    let mut wrong = Vec::new();
    for name in names() {
        write_foreign(&site, &name);
        let keys: BTreeSet<String> = sound.iter().cloned().chain([name.clone()]).collect();
        let keys = Vec::from_iter(keys);
        let index = keys.iter().position(|key| *key == name).expect("it is among them");
        // A page of one row cannot go beyond a key that is as long as keys may be.
        let fewest = if name.len() < MAX_KEY_BYTES { 1 } else { 2 };
        let sizes = page_sizes(index).into_iter().filter(|rows| *rows >= fewest);
        for rows in sizes {
            site.control("/pages", &json!({ "rows": rows }));
            let read = read_keys(&site);
            if read.as_ref() != Ok(&keys) {
                let found = read.map_or_else(|e| e, |read| format!("{} rows", read.len()));
                wrong.push(format!("{name:?}, pages of {rows}: {found} of {}", keys.len()));
            }
        }
        remove_entry(&site, &name);
    }
    assert!(wrong.is_empty(), "{} wrong:\n{}", wrong.len(), wrong.join("\n"));
}

/// Guards against rows of other tables and keys that are taken for the one that was asked for.
#[test]
fn a_row_is_found_under_any_name() {
    let site = Site::bare();
    let store = site.emulator_address("store");
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
    for name in names() {
        write_foreign(&site, &name);
        let client = StoreClient::new(store);
        let row = LocalSet::new().block_on(&runtime, client.row(Table::Upstreams, &name));
        let row = row.unwrap_or_else(|e| panic!("{name:?}: {e}"));
        assert_eq!(row.map(|row| row.key).as_ref(), Some(&name));
        remove_entry(&site, &name);
    }
}

/// Starts gateways before upstreams of both kinds.
fn site() -> Site {
    let mut site = Site::bare();
    site.configure(&configuration(7));
    (0..6).for_each(|_| drop(site.add_upstream("app")));
    (0..3).for_each(|_| drop(site.add_upstream("llm")));
    (0..3).for_each(|_| site.add_gateway());
    site.wait_ready();
    site
}

const UPSTREAMS: usize = 9;

fn restart_all(site: &mut Site) {
    site.gateways.iter_mut().for_each(GatewayProc::kill);
    site.gateways.iter_mut().for_each(GatewayProc::restart);
}

/// Calls of each kind at each gateway, with ids that begin with `name`.
fn calls(site: &Site, name: &str) -> Vec<(String, Call, std::net::SocketAddr)> {
    let mut calls = Vec::new();
    for (n, gateway) in site.gateways.iter().enumerate() {
        let id = |kind: &str| format!("{name}-{kind}-{n}");
        let (check, confirm, digest) = (id("check"), id("confirm"), id("digest"));
        calls.push((check.clone(), Call::new("GET", "/check/x", &check), gateway.callers));
        calls.push((confirm.clone(), Call::new("POST", "/confirm/x", &confirm), gateway.callers));
        calls.push((digest.clone(), Call::stream("/digest/x", &digest, 2), gateway.callers));
    }
    calls
}

/// Returns the calls at each gateway that were not served, one line each.
fn unserved(site: &Site, name: &str) -> Vec<String> {
    let calls = calls(site, name).into_iter();
    let answers = calls.map(|(id, call, to)| (id, call.send(to)));
    let failed = answers.filter(|(_, answer)| {
        answer.as_ref().is_none_or(|a| a.status != StatusCode::OK || !a.complete)
    });
    failed.map(|(id, answer)| format!("{id}: {answer:?}")).collect()
}

fn knows_all_upstreams(gateway: &GatewayProc) -> bool {
    gateway
        .metrics()
        .lines()
        .any(|line| line == format!("tackhollow_gateway_upstreams {UPSTREAMS}"))
}

/// The list is longer than a page, an entry with an odd name stands in it, and all gateways start anew.
#[test]
fn callers_are_served_after_a_restart_of_all_gateways_beside_an_odd_name() {
    let odd =
        ["i-1&x", "i-1+x", "i-1#x", "i-1 x", "i-1%00", "i-1%", "i%0004", "i%41", "i-1\nx", "zz&"];
    let mut site = site();
    for (n, name) in odd.into_iter().enumerate() {
        write_foreign(&site, name);
        let ids = (1..=UPSTREAMS).map(|n| format!("i-{n}")).chain([name.to_owned()]);
        let index = BTreeSet::from_iter(ids).into_iter().position(|id| id == name);
        for rows in page_sizes(index.expect("it is among them")) {
            site.control("/pages", &json!({ "rows": rows }));
            restart_all(&mut site);
            let what = format!("{name:?}, pages of {rows}: all gateways serve");
            wait_until_for(&what, RECOVERY, || {
                site.gateways.iter().all(|g| g.is_ready() && knows_all_upstreams(g))
            });
            let failed = unserved(&site, &format!("odd-{n}-{rows}"));
            assert!(failed.is_empty(), "{name:?}, pages of {rows}:\n{}", failed.join("\n"));
        }
        remove_entry(&site, name);
    }
}

/// Returns an entry that describes a plain upstream at this address.
fn plain_entry(address: &str) -> String {
    json!({
        "service": "app", "address": address, "zone": "bkk-nont", "version": "v1", "slots": 64,
        "state": "ready", "coldRemainingMs": 0, "sequence": 1,
    })
    .to_string()
}

/// Upstreams run a request that does not name the one it is for, and receivers of a header drop blanks
/// around its value. Guards against requests that run at an upstream of another service.
#[test]
fn an_entry_whose_name_no_header_carries_gets_no_requests() {
    let names = [
        "i-2\n",
        "i-2\r",
        "i-2\0",
        "i-2\u{7f}",
        "\0",
        "",
        " ",
        "\t",
        " i-2",
        "i-2 ",
        "\ti-2",
        "i-\u{e4}",
        "i-2\u{a0}",
    ];
    let mut site = Site::bare();
    site.configure(&configuration(7));
    site.add_upstream("app");
    let engine = site.control("/engine", &json!({ "service": "llm", "zone": "bkk-nont" }));
    let address = engine["address"].as_str().expect("an address");
    site.add_gateway();
    site.wait_ready();
    // Leaves the entry as the only one with room.
    site.behave(Some("i-1"), "full");
    let mut ran = Vec::new();
    for (n, name) in names.into_iter().enumerate() {
        site.write_entry(name, &plain_entry(address));
        let is_about = |l: &Value| l["entry"] == name || l["upstream"] == name;
        wait_until("the gateway has read it", || site.gateways[0].log().iter().any(is_about));
        let calls = calls(&site, &format!("unnamed-{n}"));
        for (id, call, to) in calls.into_iter().filter(|(id, ..)| !id.contains("digest")) {
            let status = call.send(to).map(|a| a.status);
            let runs = site.runs(&id).into_iter();
            ran.extend(
                runs.map(|run| format!("{name:?}, {id}: {status:?}, at {}", run["upstream"])),
            );
        }
        remove_entry(&site, name);
    }
    assert!(ran.is_empty(), "{} ran:\n{}", ran.len(), ran.join("\n"));
}

/// Upstreams take the customer from a header. Guards against requests that reach them without it.
#[test]
fn requests_of_a_customer_whose_name_no_header_carries_do_not_run_without_it() {
    struct Case {
        name: &'static str,
        status: StatusCode,
    }
    let served = |name| Case { name, status: StatusCode::OK };
    let refused = |name| Case { name, status: StatusCode::SERVICE_UNAVAILABLE };
    let cases = [
        served("h\u{e4}meen kunta"),
        served("a&b+c#d%e\"f"),
        refused("temple\nx"),
        refused("temple\0"),
        refused("\u{7f}"),
        refused("small "),
        refused("\tsmall"),
    ];
    let site = Site::start(1, 0, 2);
    let to = site.gateways[0].callers;
    for (version, case) in (8..).zip(cases) {
        let mut renamed = configuration(version);
        renamed["tenants"][0]["name"] = case.name.into();
        site.configure(&renamed);
        wait_until("it is in force", || site.configuration_versions() == [version]);
        for kind in ["check", "confirm"] {
            let id = format!("{kind}-{version}");
            let method = if kind == "check" { "GET" } else { "POST" };
            let sent = Instant::now();
            let answer = Call::new(method, &format!("/{kind}/x"), &id).send(to).expect("an answer");
            assert_eq!(answer.status, case.status, "{id}, {:?}", case.name);
            let runs = site.runs(&id);
            let named = runs.iter().filter(|run| run["customer"] == case.name).count();
            let expected = usize::from(case.status == StatusCode::OK);
            assert_eq!((runs.len(), named), (expected, expected), "{id}, {:?}", case.name);
            assert!(sent.elapsed() < AT_ONCE, "{id}, {:?}: after {:?}", case.name, sent.elapsed());
        }
    }
}

/// Guards against names that write lines of their own into a log, or labels into the metrics.
#[test]
fn names_of_entries_forge_no_lines_in_logs_and_metrics() {
    const FORGED: &str = "forged";
    let name = format!("i-1\n{FORGED} 1\r{FORGED}\"}} 2\n");
    let mut site = Site::bare();
    site.configure(&configuration(7));
    site.add_upstream("app");
    for table in ["servers", "members", "duties", "op", "status"] {
        let rollout = format!("rollout/{name}");
        for id in [&name, &rollout] {
            site.control("/entry", &json!({ "table": table, "id": id, "text": "no JSON" }));
        }
    }
    site.add_gateway();
    site.wait_ready();
    let gateway = &site.gateways[0];
    wait_until("the row of the members is read", || gateway.said().contains(FORGED));
    let call = Call::new("GET", "/check/x", "served");
    assert_eq!(call.send(gateway.callers).map(|a| a.status), Some(StatusCode::OK));
    let texts = [gateway.said(), gateway.metrics()];
    for line in texts.iter().flat_map(|text| text.split(['\n', '\r'])) {
        assert!(!line.starts_with(FORGED), "{line:?}");
    }
    let events = std::fs::read_to_string(&site.logs()[0]).expect("a log");
    for line in events.lines() {
        assert!(serde_json::from_str::<Value>(line).is_ok(), "{line:?}");
    }
}
