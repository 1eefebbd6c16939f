//! Callers that read their answers slowly, or not at all.

mod slow;
mod support;

use std::{
    io::{ErrorKind, Read},
    thread,
    time::{Duration, Instant},
};

use slow::Pace;
use support::{
    gateways::{Call, Site, configuration},
    proc::peak_memory_kib,
    wait_until,
};

/// Events of a stream. With [`VERSION_BYTES`] each has about 160 bytes.
const EVENTS: u64 = 100;
/// Size of the version that each event names.
const VERSION_BYTES: usize = 132;
/// Time budget of the callers.
const BUDGET: Duration = Duration::from_secs(12);

/// Starts gateways before two engines whose events have the size of the users' largest sites.
fn site(gateways: usize) -> Site {
    let mut site = Site::bare();
    site.configure(&configuration(7));
    for _ in 0..2 {
        site.add_upstream_of("llm", &"v".repeat(VERSION_BYTES), Duration::from_millis(20));
    }
    (0..gateways).for_each(|_| site.add_gateway());
    site.wait_ready();
    site
}

fn stream(route: &str, id: &str) -> Call {
    let budget = BUDGET.as_millis().to_string();
    Call::stream(&format!("/{route}/a"), id, EVENTS).header("x-deadline-ms", &budget)
}

/// Guards against answers of callers that read slowly being reset within their time budget.
#[test]
fn callers_that_read_slowly_get_their_whole_answer() {
    struct Case {
        name: &'static str,
        pace: Pace,
    }
    let ms = Duration::from_millis;
    let cases = [
        Case {
            name: "1,600 bytes a second, buffer of 3,000",
            pace: Pace { receive_buffer: 3_000, bytes: 400, pause: ms(250) },
        },
        Case {
            name: "2,000 bytes a second, buffer of 4,096",
            pace: Pace { receive_buffer: 4_096, bytes: 100, pause: ms(50) },
        },
        Case {
            name: "pauses of 3 s, buffer of 8,192",
            pace: Pace { receive_buffer: 8_192, bytes: 8_000, pause: ms(3_000) },
        },
        Case {
            name: "50,000 bytes a second, buffer of 65,536",
            pace: Pace { receive_buffer: 65_536, bytes: 5_000, pause: ms(100) },
        },
    ];
    let site = site(2);
    let callers: Vec<_> = cases
        .iter()
        .enumerate()
        .flat_map(|(c, case)| (0..4).map(move |n| (c, n, case.pace)))
        .map(|(c, n, pace)| {
            let to = site.gateways[n % 2].callers;
            let route = if n < 2 { "plan" } else { "digest" };
            let call = stream(route, &format!("slow-{c}-{n}"));
            (c, thread::spawn(move || slow::call(&call, to, pace).expect("an answer begins")))
        })
        .collect();
    let all: Vec<u64> = (1..=EVENTS).collect();
    for (c, caller) in callers {
        let (name, got) = (cases[c].name, caller.join().expect("a caller"));
        println!("{name}: {} events after {:?}", got.event_ids().len(), got.took);
        assert!(got.is_whole && !got.is_reset, "{name}: cut after {:?}", got.took);
        assert_eq!(got.event_ids(), all, "{name}");
    }
}

/// Prints what slow callers of each pace get, what they cost, and what ordinary callers get beside
/// them.
#[test]
#[ignore = "run manually: cargo nextest run --test gateway_slow_callers --run-ignored only"]
fn table_of_paces() {
    const ORDINARY: usize = 100;
    let ms = Duration::from_millis;
    let pace = |receive_buffer, bytes, pause| Pace { receive_buffer, bytes, pause };
    let paces = [
        pace(3_000, 100, ms(200)),
        pace(3_000, 400, ms(250)),
        pace(4_096, 2_000, ms(1_000)),
        pace(16_384, 16_000, ms(5_000)),
        pace(65_536, 10_000, ms(200)),
    ];
    println!(
        "| buffer | bytes/s | pause | callers | whole | cut | MiB | p50 | p99 of first events |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (pace, callers) in paces.into_iter().flat_map(|p| [(p, 0), (p, 100), (p, 1_000)]) {
        let site = site(1);
        (0..18).for_each(|_| drop(site.add_known_upstream("llm")));
        let to = site.gateways[0].callers;
        let slow: Vec<_> = (0..callers)
            .map(|n| {
                let call = stream("plan", &format!("slow-{n}"));
                thread::spawn(move || slow::call(&call, to, pace))
            })
            .collect();
        thread::sleep(ms(1_000));
        let ordinary: Vec<_> = (0..ORDINARY)
            .map(|n| {
                thread::spawn(move || {
                    thread::sleep(ms(20) * n as u32);
                    let began = Instant::now();
                    let call = stream("plan", &format!("ordinary-{n}"));
                    let mut stream = slow::send(&call, to, 65_536).expect("sent");
                    let mut head = [0; 2_048];
                    let read = stream.read(&mut head).expect("a head");
                    head[..read].starts_with(b"HTTP/1.1 200").then(|| began.elapsed())
                })
            })
            .collect();
        let mut times: Vec<_> =
            ordinary.into_iter().filter_map(|c| c.join().expect("a caller")).collect();
        times.sort();
        let got: Vec<_> = slow.into_iter().map(|c| c.join().expect("a caller")).collect();
        let whole = got.iter().flatten().filter(|g| g.is_whole).count();
        let memory = peak_memory_kib(site.gateways[0].id()) >> 10;
        let rate = pace.bytes as u128 * 1_000 / pace.pause.as_millis();
        let at = |share: usize| times.get((times.len() * share / 100).min(times.len() - 1));
        println!(
            "| {} | {rate} | {:?} | {callers} | {whole} | {} | {memory} | {:?} | {:?} |",
            pace.receive_buffer,
            pace.pause,
            callers - whole,
            at(50),
            at(99),
        );
    }
}

/// Guards against callers that never read and hold connections, memory and slots without end.
#[test]
fn callers_that_never_read_are_cut_off_soon_after_their_time_budget() {
    const CALLERS: usize = 100;
    let site = site(1);
    let to = site.gateways[0].callers;
    let began = Instant::now();
    let open: Vec<_> = (0..CALLERS)
        .map(|n| slow::send(&stream("plan", &format!("never-{n}")), to, 3_000).expect("sent"))
        .collect();
    // Callers that read are served meanwhile.
    thread::sleep(Duration::from_secs(4));
    let beside: Vec<_> = (0..10)
        .map(|n| thread::spawn(move || stream("plan", &format!("beside-{n}")).send(to)))
        .collect();
    for caller in beside {
        let answer = caller.join().expect("a caller").expect("an answer");
        assert!(answer.complete && answer.event_ids().len() as u64 == EVENTS, "{answer:?}");
    }
    let ended = |log: &[serde_json::Value]| {
        let is_end = |l: &&serde_json::Value| {
            l["event"] == "answered"
                && l["request"].as_str().is_some_and(|r| r.starts_with("never"))
        };
        log.iter().filter(is_end).count()
    };
    wait_until("all have ended", || ended(&site.gateways[0].log()) == CALLERS);
    for mut stream in open {
        let ended = stream.set_read_timeout(Some(BUDGET)).and_then(|()| {
            thread::sleep((BUDGET + Duration::from_secs(4)).saturating_sub(began.elapsed()));
            stream.read_to_end(&mut Vec::new())
        });
        let reset = ended.err().map(|e| e.kind());
        assert_eq!(reset, Some(ErrorKind::ConnectionReset), "the connection is kept");
    }
}

/// Guards against slow callers whose answers fill the memory of a gateway, or delay other callers.
#[test]
fn many_slow_callers_take_little_memory_and_delay_no_others() {
    const SLOW: usize = 300;
    const OTHERS: usize = 40;
    /// Half of what the smallest hosts have.
    const MAX_MEMORY_KIB: u64 = 60 << 10;
    let site = site(1);
    for _ in 0..6 {
        site.add_known_upstream("llm");
    }
    let to = site.gateways[0].callers;
    let first_events = |name: &'static str| {
        let callers: Vec<_> = (0..OTHERS)
            .map(|n| {
                thread::spawn(move || {
                    thread::sleep(Duration::from_millis(50) * n as u32);
                    let call = stream("plan", &format!("{name}-{n}"));
                    let began = Instant::now();
                    let mut stream = slow::send(&call, to, 65_536).expect("sent");
                    let mut head = [0; 2_048];
                    let read = stream.read(&mut head).expect("a head");
                    assert!(head[..read].starts_with(b"HTTP/1.1 200"), "{name}-{n}");
                    began.elapsed()
                })
            })
            .collect();
        let mut times: Vec<_> = callers.into_iter().map(|c| c.join().expect("served")).collect();
        times.sort();
        (times[OTHERS / 2], times[OTHERS - 1])
    };
    let alone = first_events("alone");
    let pace = Pace { receive_buffer: 3_000, bytes: 400, pause: Duration::from_millis(250) };
    let slow: Vec<_> = (0..SLOW)
        .map(|n| {
            let call = stream("plan", &format!("slow-{n}"));
            thread::spawn(move || slow::call(&call, to, pace))
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    let beside = first_events("beside");
    let got: Vec<_> = slow.into_iter().filter_map(|c| c.join().expect("a caller").ok()).collect();
    let whole = got.iter().filter(|g| g.is_whole).count();
    let memory = peak_memory_kib(site.gateways[0].id());
    println!(
        "{whole} of {SLOW} whole, {memory} KiB; first bytes {alone:?} alone, {beside:?} beside"
    );
    assert_eq!(whole, SLOW);
    assert!(memory < MAX_MEMORY_KIB, "{memory} KiB");
    assert!(beside.1 < alone.1 + Duration::from_millis(500), "{alone:?} {beside:?}");
}
