//! Crowds of callers that hold on to a gateway's memory and descriptors. Bounds are shares of a small
//! host; nothing here depends on the machine's speed.

mod crowds;
mod support;

use std::{
    net::{SocketAddr, TcpListener},
    thread,
};

use crowds::{Crowd, MAX_BODY_BYTES, send_body_in_single_bytes};
use hyper::StatusCode;
use serde_json::json;
use support::{
    gateways::{Call, GatewayProc, ProcessLimits, Site, configuration},
    proc::{open_descriptors, peak_memory_kib},
};

/// Memory of the smallest host.
const HOST_MEMORY_KIB: u64 = 120 << 10;
/// Descriptors of the smallest host.
const HOST_DESCRIPTORS: u64 = 3_075;
/// Descriptors of a host where few connections are a crowd.
const FEW_DESCRIPTORS: u64 = 300;
/// Time limit of all routes, so long that no client of a crowd is ended by it.
const ROUTE_TIMEOUT_MS: u64 = 60_000;

/// Starts one gateway on a small host, with one engine and one plain upstream.
fn start(descriptors: u64) -> Site {
    let mut site = Site::bare();
    let mut config = configuration(7);
    config["limits"]["maxBodyBytes"] = json!(MAX_BODY_BYTES);
    for route in config["routes"].as_array_mut().expect("routes") {
        route["timeoutMs"] = json!(ROUTE_TIMEOUT_MS);
    }
    site.configure(&config);
    site.add_upstream("llm");
    site.add_upstream("app");
    site.process_limits = Some(ProcessLimits { memory_kib: HOST_MEMORY_KIB, descriptors });
    site.add_gateway();
    site.wait_ready();
    site
}

/// Checks that the process lives within 0.8 of its host's memory and three quarters of its
/// descriptors.
fn check_process(gateway: &mut GatewayProc, descriptors: u64, name: &str) {
    assert!(!gateway.has_ended(), "{name}: the gateway has ended: {}", gateway.said());
    let (memory, open) = (peak_memory_kib(gateway.id()), open_descriptors(gateway.id()));
    println!("{name}: {memory} KiB, {open} descriptors");
    assert!(memory * 10 < HOST_MEMORY_KIB * 8, "{name}: {memory} KiB");
    assert!(open as u64 * 4 < descriptors * 3, "{name}: {open} descriptors");
}

/// Checks that one request is served, one look-up is answered, and the gateway is ready.
fn check_ordinary_callers(gateway: &GatewayProc, name: &str) {
    let answer = Call::new("GET", "/check/x", "ordinary").send(gateway.callers);
    assert_eq!(answer.map(|a| a.status), Some(StatusCode::OK), "{name}");
    assert_eq!(gateway.told().len(), 1, "{name}: no look-up");
    assert!(gateway.is_ready(), "{name}: not ready");
}

/// A listening address of a gateway.
type Door = fn(&GatewayProc) -> SocketAddr;

struct Case {
    crowd: Crowd,
    clients: usize,
    door: Door,
    descriptors: u64,
}

impl Case {
    /// A crowd at the address for callers, of a host with many descriptors.
    fn new(crowd: Crowd, clients: usize) -> Self {
        Self { crowd, clients, door: |g| g.callers, descriptors: HOST_DESCRIPTORS }
    }
}

/// Sends each crowd to a gateway of its own, and checks what it leaves to others.
fn check(cases: &[Case]) {
    for case in cases {
        let name = format!("{} of {:?}", case.clients, case.crowd);
        let mut site = start(case.descriptors);
        let gateway = &mut site.gateways[0];
        let clients = case.crowd.start((case.door)(gateway), case.clients);
        check_process(gateway, case.descriptors, &name);
        check_ordinary_callers(gateway, &name);
        drop(clients);
        check_ordinary_callers(gateway, &name);
        check_process(gateway, case.descriptors, &name);
    }
}

/// Guards against bodies that together fill the memory of a gateway.
#[test]
fn bodies_that_are_not_ended_leave_memory_to_others() {
    check(&[Case::new(Crowd::Chunks(64 << 10), 60), Case::new(Crowd::Length, 60)]);
}

/// Guards against whole bodies that are held more than once while their upstream does not read them.
#[test]
fn bodies_at_an_upstream_that_does_not_read_leave_memory_to_others() {
    let mut site = start(HOST_DESCRIPTORS);
    // Its system accepts connections and some bytes of each.
    let idle = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = idle.local_addr().expect("an address");
    site.behave(Some("i-1"), "full");
    let (id, _) = site.add_upstream_behind("llm", address);
    site.wait_known(&id);
    let gateway = &mut site.gateways[0];
    let clients = Crowd::Whole.start(gateway.callers, 60);
    check_process(gateway, HOST_DESCRIPTORS, "whole bodies");
    check_ordinary_callers(gateway, "whole bodies");
    drop(clients);
    check_ordinary_callers(gateway, "whole bodies");
}

/// Guards against chunks that take many times their bytes.
#[test]
fn bodies_in_single_bytes_leave_memory_to_others() {
    check(&[Case::new(Crowd::Chunks(1), 10)]);
}

/// Guards against a body inside the limits that ends the gateway.
#[test]
fn one_body_in_single_bytes_is_served() {
    let mut site = start(HOST_DESCRIPTORS);
    let gateway = &mut site.gateways[0];
    let answer = send_body_in_single_bytes(gateway.callers, MAX_BODY_BYTES);
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    check_process(gateway, HOST_DESCRIPTORS, "one body");
    check_ordinary_callers(gateway, "one body");
}

/// Guards against heads that together fill the memory of a gateway.
#[test]
fn heads_that_are_not_ended_leave_memory_to_others() {
    check(&[Case::new(Crowd::Head(60 << 10), 2_000), Case::new(Crowd::Head(15 << 10), 2_900)]);
}

/// Guards against trailers that together fill the memory of a gateway.
#[test]
fn trailers_that_are_not_ended_leave_memory_to_others() {
    check(&[Case::new(Crowd::Trailers(14 << 10), 2_500)]);
}

/// Guards against connections that take the descriptors for callers, look-ups, probes and upstreams.
#[test]
fn silent_connections_leave_descriptors_to_others() {
    let at = |door: Door| Case {
        crowd: Crowd::Silent,
        clients: 400,
        door,
        descriptors: FEW_DESCRIPTORS,
    };
    check(&[at(|g| g.callers), at(|g| g.directory), at(|g| g.readiness), at(|g| g.peers)]);
}

/// Guards against upstreams being avoided since this process has no descriptor for a connection.
#[test]
fn a_lack_of_descriptors_speaks_against_no_upstream() {
    /// More than there are descriptors for, with a connection to an upstream each.
    const STREAMS: usize = 145;
    let mut site = start(FEW_DESCRIPTORS);
    (0..2).for_each(|_| drop(site.add_known_upstream("llm")));
    let to = site.gateways[0].callers;
    let call = |n: usize| Call::stream("/plan/a", &format!("stream-{n}"), 150);
    let callers: Vec<_> = (0..STREAMS).map(|n| thread::spawn(move || call(n).send(to))).collect();
    let answers: Vec<_> = callers.into_iter().map(|c| c.join().expect("a caller")).collect();
    let gateway = &mut site.gateways[0];
    assert!(!gateway.has_ended(), "{}", gateway.said());
    let statuses = answers.iter().flatten().map(|a| a.status);
    let refused = statuses.clone().filter(|s| *s == StatusCode::SERVICE_UNAVAILABLE).count();
    let served = statuses.filter(|s| *s == StatusCode::OK).count();
    println!("{served} served, {refused} refused");
    assert!(refused > 0, "the descriptors were enough for {served}");
    assert_eq!(served + refused, STREAMS);
    let blamed = |l: &&serde_json::Value| l["cause"] == "unreachable" || l["event"] == "paths";
    let log = gateway.log();
    assert_eq!(log.iter().find(blamed), None);
    check_ordinary_callers(gateway, "after streams");
}

/// Guards against unread answers, empty lines and resets that take memory or the one thread.
#[test]
fn requests_that_nobody_waits_for_leave_room_to_others() {
    check(&[
        Case::new(Crowd::Pipelined, 50),
        Case::new(Crowd::EmptyLines, 50),
        Case::new(Crowd::Reset, 2_000),
    ]);
}

/// Guards against memory that was freed after a crowd and is missing for the next, of another kind.
#[test]
fn crowds_of_different_kinds_in_a_row_leave_memory_to_others() {
    let mut site = start(HOST_DESCRIPTORS);
    let gateway = &mut site.gateways[0];
    let crowds = [
        (Crowd::Chunks(64 << 10), 60),
        (Crowd::Head(60 << 10), 2_000),
        (Crowd::Length, 60),
        (Crowd::Trailers(14 << 10), 2_500),
        (Crowd::Chunks(1), 10),
    ];
    for (crowd, clients) in crowds {
        let name = format!("{clients} of {crowd:?} in a row");
        drop(crowd.start(gateway.callers, clients));
        check_process(gateway, HOST_DESCRIPTORS, &name);
        check_ordinary_callers(gateway, &name);
    }
}
