//! The platform adapter decodes published messages into the project's types and encodes them.

use std::time::Duration;

use hyper::{HeaderMap, Request, StatusCode, header::HeaderValue};
use serde_json::Value;
use tackhollow::{
    gateway::model::{RequestKind, UpstreamPhase},
    platform::{
        Attempt, announces_leaving, closes, decode_configuration, decode_head, decode_lookup,
        decode_max_rejections, decode_rate_limit, decode_retry_after, decode_upstream,
        encode_addresses, is_not_executed, is_unsigned_success, keep_alive, same_request,
        stamp_attempt, strip_hop_headers,
    },
    prefix,
};

const CONFIGURATION: &str = include_str!("data/platform_configuration.json");

#[test]
fn decodes_the_configuration() {
    let cfg = decode_configuration(CONFIGURATION.as_bytes()).expect("a valid configuration");
    assert_eq!(cfg.version, 7);
    let route = cfg.route("ficu95.example", "/lohu930/2f").expect("a route");
    assert_eq!(route.kind, RequestKind::Streaming);
    assert_eq!(route.timeout, Duration::from_secs(15));
    assert_eq!(route.targets, [("huvo11a".to_owned(), 90), ("wuno96b".to_owned(), 10)]);
    assert!(!route.repeatable());
    let resumable = cfg.route("ficu95.example", "/pufi791/x").expect("a route");
    assert!(resumable.repeatable());
    assert_eq!(resumable.targets, [("huvo11a".to_owned(), 1)]);
    let service = &cfg.services["huvo11a"];
    assert_eq!(service.max_connections, 370);
    assert_eq!(service.engine.expect("a service of model engines").cache_tokens, 583_597);
    let scaling = service.scaling.as_ref().expect("a service with scaling bounds");
    assert_eq!((scaling.min, scaling.max), (1, 10));
    assert_eq!(scaling.boot, Duration::from_secs(4));
    assert!(cfg.services["wuno96b"].scaling.is_none());
    let customer = cfg.customer("i9n73hh2b9wu3fexd9dn").expect("the customer of the key");
    assert_eq!(customer.name, "hule930");
    assert_eq!(customer.quota.expect("a quota").burst, 287_032.0);
    assert_eq!(cfg.limits.body_bytes, 4_194_304);
}

#[test]
fn longest_matching_path_prefix_of_the_host_selects_the_route() {
    struct Case {
        host: &'static str,
        path: &'static str,
        route: Option<&'static str>,
    }
    let cases = [
        Case { host: "ficu95.example", path: "/lohu930/2f", route: Some("r-6tta828") },
        Case { host: "ficu95.example", path: "/lohu930/deep/2f", route: Some("r-deep") },
        Case { host: "ficu95.example", path: "/lohu930", route: None },
        Case { host: "ficu95.example", path: "/lohu9300/2f", route: None },
        Case { host: "other.example", path: "/lohu930/2f", route: None },
        Case { host: "ficu95.example", path: "/", route: None },
    ];
    let cfg = decode_configuration(CONFIGURATION.as_bytes()).expect("a valid configuration");
    for case in cases {
        let route = cfg.route(case.host, case.path).map(|r| r.name.as_str());
        assert_eq!(route, case.route, "{} {}", case.host, case.path);
    }
}

#[test]
fn malformed_documents_are_rejected_with_an_error() {
    for bytes in [&b""[..], b"{", b"[]", b"{\"routes\":[]}", b"{\"version\":\"7\"}", b"\xff"] {
        decode_configuration(bytes).expect_err("not a configuration");
        decode_upstream("i-1".to_owned(), bytes).expect_err("not an upstream");
    }
}

#[test]
fn decodes_upstream_rows() {
    struct Case {
        row: &'static str,
        phase: UpstreamPhase,
        reclaimable: bool,
        leaves_in: Option<Duration>,
    }
    let cases = [
        Case {
            row: r#"{"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":6,
                "state":"ready","coldRemainingMs":0,"sequence":1}"#,
            phase: UpstreamPhase::Ready,
            reclaimable: false,
            leaves_in: None,
        },
        Case {
            row: r#"{"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":6,
                "state":"draining","coldRemainingMs":0.5,"sequence":1,"spot":true,
                "leaves_ms":2400,"born":1700000000000}"#,
            phase: UpstreamPhase::Draining,
            reclaimable: true,
            leaves_in: Some(Duration::from_millis(2_400)),
        },
        Case {
            row: r#"{"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":6,
                "state":"ready","coldRemainingMs":0,"sequence":1,"new":1}"#,
            phase: UpstreamPhase::Ready,
            reclaimable: false,
            leaves_in: None,
        },
    ];
    for case in cases {
        let upstream = decode_upstream("i-1".to_owned(), case.row.as_bytes()).expect(case.row);
        assert_eq!(upstream.phase, case.phase, "{}", case.row);
        assert_eq!(upstream.reclaimable, case.reclaimable, "{}", case.row);
        assert_eq!(upstream.leaves_in, case.leaves_in, "{}", case.row);
    }
}

#[test]
fn decodes_request_heads() {
    let request = Request::post("/lohu930/2f?x=1")
        .header("Host", "Ficu95.Example:8221")
        .header("X-Request-Id", "9c41")
        .header("X-Token-Usage", "1460,80")
        .header("X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250")
        .header("X-Deadline-Ms", "15000")
        .header("X-Key", "secret")
        .body(())
        .expect("a request");
    let head = decode_head(&request.into_parts().0);
    assert_eq!(
        (head.id.as_str(), head.host.as_str(), head.path.as_str()),
        ("9c41", "ficu95.example", "/lohu930/2f")
    );
    assert_eq!(head.patience, Some(Duration::from_secs(15)));
    assert_eq!(head.key.as_deref(), Some("secret"));
    let prompt = head.prompt.expect("a prompt");
    assert_eq!((prompt.tokens, prompt.max_output), (1_460, 80));
    assert_eq!(prompt.parts.iter().map(|(_, tokens)| *tokens).collect::<Vec<_>>(), [800, 410, 250]);
}

/// A hint that cannot be read must not become a cost of zero or beyond what the caller allows.
#[test]
fn length_hints_that_cannot_be_read_count_as_missing() {
    struct Case {
        value: Option<&'static str>,
        hint: Option<u32>,
    }
    let cases = [
        Case { value: None, hint: None },
        Case { value: Some("70"), hint: Some(70) },
        Case { value: Some(" 70 "), hint: Some(70) },
        Case { value: Some("80"), hint: Some(80) },
        Case { value: Some("81"), hint: Some(80) },
        Case { value: Some("4294967296"), hint: Some(80) },
        Case { value: Some("99999999999999999999999999999"), hint: Some(80) },
        Case { value: Some("0"), hint: None },
        Case { value: Some("-5"), hint: None },
        Case { value: Some("+5"), hint: None },
        Case { value: Some("7.5"), hint: None },
        Case { value: Some("1e3"), hint: None },
        Case { value: Some("nan"), hint: None },
        Case { value: Some(""), hint: None },
        Case { value: Some("5,6"), hint: None },
    ];
    for Case { value, hint } in cases {
        let mut request = Request::post("/").header("X-Token-Usage", "1460,80");
        if let Some(value) = value {
            request = request.header("X-Length-Hint", value);
        }
        let head = decode_head(&request.body(()).expect("a request").into_parts().0);
        assert_eq!(head.prompt.expect("a prompt").length_hint, hint, "{value:?}");
    }
    let none_allowed =
        Request::post("/").header("X-Token-Usage", "9,0").header("X-Length-Hint", "5");
    let head = decode_head(&none_allowed.body(()).expect("a request").into_parts().0);
    assert_eq!(head.prompt.expect("a prompt").length_hint, None);
}

/// A part that crashes engines must not be hidden by what stands beside it in the header.
#[test]
fn shared_parts_of_a_prompt_are_read_from_malformed_headers() {
    struct Case {
        name: &'static str,
        headers: &'static [&'static str],
        /// Ids of the parts that are read.
        shared: &'static [&'static str],
    }
    let cases = [
        Case { name: "no header", headers: &[], shared: &[] },
        Case { name: "one part only", headers: &["e4:250"], shared: &[] },
        Case { name: "three parts", headers: &["5c:8,91:4,e4:2"], shared: &["5c", "91"] },
        Case {
            name: "spaces and capitals",
            headers: &[" 5C:8 , 91 :4,e4:2"],
            shared: &["5c", "91"],
        },
        Case { name: "a number that is none", headers: &["5c:x,91:4,e4:2"], shared: &["5c", "91"] },
        Case { name: "no number", headers: &["5c,91:4,e4:2"], shared: &["5c", "91"] },
        Case { name: "empty entries", headers: &["5c:8,,91:4,e4:2,"], shared: &["5c", "91"] },
        Case { name: "two headers", headers: &["5c:8", "91:4,e4:2"], shared: &["5c", "91"] },
    ];
    for case in cases {
        let mut request = Request::post("/");
        for value in case.headers {
            request = request.header("X-Prompt-Prefix", *value);
        }
        let head = decode_head(&request.body(()).expect(case.name).into_parts().0);
        let shared: Vec<_> = case.shared.iter().map(|id| prefix::hash(id.as_bytes())).collect();
        assert_eq!(head.shared_parts, shared, "{}", case.name);
    }
}

fn headers(list: &[(&'static str, &'static str)]) -> HeaderMap {
    list.iter().map(|(n, v)| (n.parse().expect(n), HeaderValue::from_static(v))).collect()
}

#[test]
fn internal_headers_sent_by_a_caller_are_replaced() {
    let mut sent = headers(&[
        ("x-key", "secret"),
        ("x-tenant", "forged"),
        ("x-expect-instance", "forged"),
        ("x-request-priority", "0"),
        ("kv-from", "10.0.0.1:1/7"),
        ("x-pin-ms", "4000"),
        ("connection", "close, x-hop"),
        ("x-hop", "1"),
        ("x-kept", "1"),
    ]);
    strip_hop_headers(&mut sent);
    stamp_attempt(
        &mut sent,
        &Attempt {
            time_left: Duration::from_millis(900),
            upstream: "i-7",
            customer: Some("hule930"),
            priority: Some(2),
            resume_after: Some("12"),
        },
    );
    let expected = headers(&[
        ("x-kept", "1"),
        ("x-deadline-ms", "900"),
        ("x-expect-instance", "i-7"),
        ("x-tenant", "hule930"),
        ("x-request-priority", "2"),
        ("last-event-id", "12"),
    ]);
    assert_eq!(sent, expected);
}

/// Guards against a health check that is sent to another path, where it may be taken for a request.
#[test]
fn health_checks_go_to_the_path_that_the_operator_wrote_or_are_left_out() {
    struct Case {
        written: &'static str,
        path: Option<&'static str>,
    }
    let case = |written, path| Case { written, path };
    let cases = [
        case("/healthz", Some("/healthz")),
        case("/healthz?deep=1", Some("/healthz?deep=1")),
        case("/a%20b", Some("/a%20b")),
        case("/a b", None),
        case("/a\nb", None),
        case("/a\0", None),
        case("healthz", None),
        case("", None),
    ];
    for case in cases {
        let mut cfg: Value = serde_json::from_str(CONFIGURATION).expect("a document");
        cfg["services"][0]["healthPath"] = case.written.into();
        let name = cfg["services"][0]["name"].as_str().expect("a name").to_owned();
        let cfg = decode_configuration(cfg.to_string().as_bytes()).expect("a configuration");
        let path = cfg.services[&name].health_path.as_ref().map(|path| path.as_str());
        assert_eq!(path, case.path, "{:?}", case.written);
    }
}

#[test]
fn classifies_answers_by_status_and_headers() {
    let ok = StatusCode::OK;
    let unavailable = StatusCode::SERVICE_UNAVAILABLE;
    let sealed = headers(&[("x-response-seal", "3e1b"), ("x-request-id", "9c41")]);
    assert!(!is_unsigned_success(ok, &sealed));
    assert!(is_unsigned_success(ok, &HeaderMap::new()));
    assert!(!is_unsigned_success(unavailable, &HeaderMap::new()));
    assert!(same_request(&sealed, "9c41"));
    assert!(!same_request(&sealed, "9c42"));
    assert!(
        !is_not_executed(unavailable, &HeaderMap::new()),
        "status 503 alone does not mean that the request was not run"
    );
    assert!(is_not_executed(unavailable, &headers(&[("x-not-executed", "1")])));
    assert!(is_not_executed(StatusCode::MISDIRECTED_REQUEST, &HeaderMap::new()));
    assert_eq!(
        keep_alive(&headers(&[("keep-alive", "timeout=5, max=9")])),
        Some(Duration::from_secs(5))
    );
    assert_eq!(keep_alive(&HeaderMap::new()), None);
    assert!(closes(&headers(&[("connection", "keep-alive, Close")])));
    assert!(!closes(&HeaderMap::new()));
}

#[test]
fn decodes_and_answers_lookups() {
    let get = |uri: &str| {
        let request = Request::get(uri).body(()).expect("a request");
        decode_lookup(request.method(), request.uri())
    };
    let lookup = get("/resolve?name=a.example&region=bkk&zone=bkk-nont").expect("a lookup");
    assert_eq!(lookup.data_centre.as_deref(), Some("bkk-nont"));
    assert_eq!(get("/resolve").expect("a lookup").data_centre, None);
    assert_eq!(get("/ready"), None);
    let addresses = ["10.1.0.14:8221".parse().expect("an address")];
    let answer = String::from_utf8(encode_addresses(&addresses, 2)).expect("text");
    assert_eq!(answer, r#"{"addresses":["10.1.0.14:8221"],"ttlS":2}"#);
}

#[test]
fn decodes_rate_limits() {
    struct Case {
        values: &'static [&'static str],
        /// `Err` if a value is not a valid rate.
        rate: Result<Option<f64>, ()>,
    }
    let cases = [
        Case { values: &[], rate: Ok(None) },
        Case { values: &["1.1"], rate: Ok(Some(1.1)) },
        Case { values: &[" 20 "], rate: Ok(Some(20.0)) },
        Case { values: &["0"], rate: Ok(Some(0.0)) },
        Case { values: &["3", "2"], rate: Ok(Some(2.0)) },
        Case { values: &["-1"], rate: Err(()) },
        Case { values: &["inf"], rate: Err(()) },
        Case { values: &["NaN"], rate: Err(()) },
        Case { values: &["1e999"], rate: Err(()) },
        Case { values: &["many"], rate: Err(()) },
        Case { values: &[""], rate: Err(()) },
        Case { values: &["3", "x"], rate: Err(()) },
    ];
    for case in cases {
        let mut headers = HeaderMap::new();
        for value in case.values {
            headers.append("server-limit", HeaderValue::from_static(value));
        }
        let decoded = decode_rate_limit(&headers);
        assert_eq!(decoded.map_err(drop), case.rate, "{:?}", case.values);
        assert_eq!(decode_max_rejections(&headers).map_err(drop), Ok(None), "another header");
        let mut headers = HeaderMap::new();
        for value in case.values {
            headers.append("server-brittle", HeaderValue::from_static(value));
        }
        let decoded = decode_max_rejections(&headers);
        assert_eq!(decoded.map_err(drop), case.rate, "brittle: {:?}", case.values);
    }
}

#[test]
fn decodes_retry_after() {
    struct Case {
        status: u16,
        value: Option<&'static str>,
        /// `Err` if the value is neither a number of seconds nor a date.
        retry_after: Result<Option<Duration>, ()>,
    }
    let ms = |ms| Ok(Some(Duration::from_millis(ms)));
    let case = |value, retry_after| Case { status: 503, value: Some(value), retry_after };
    // 2015-10-21 07:28:00 GMT.
    let time = 1_445_412_480_000;
    let cases = [
        Case { status: 503, value: None, retry_after: Ok(None) },
        case("3", ms(3_000)),
        case("0.25", ms(250)),
        case("0", ms(0)),
        case("Wed, 21 Oct 2015 07:28:02 GMT", ms(2_000)),
        case("Wed, 21 Oct 2015 07:27:00 GMT", ms(0)),
        case("1e30", ms(86_400_000)),
        case("inf", ms(86_400_000)),
        case("Fri, 31 Dec 9999 23:59:59 GMT", ms(86_400_000)),
        case("-3", Err(())),
        case("NaN", Err(())),
        case("soon", Err(())),
        case("", Err(())),
        Case { status: 429, value: Some("2"), retry_after: ms(2_000) },
        Case { status: 200, value: Some("2"), retry_after: Ok(None) },
        Case { status: 500, value: Some("2"), retry_after: Ok(None) },
    ];
    for case in cases {
        let list: Vec<_> = case.value.iter().map(|v| ("retry-after", *v)).collect();
        let status = StatusCode::from_u16(case.status).expect("a status");
        let decoded = decode_retry_after(status, &headers(&list), time);
        assert_eq!(decoded.map_err(drop), case.retry_after, "{} {:?}", case.status, case.value);
    }
}

#[test]
fn only_the_published_value_marks_an_upstream_as_leaving() {
    let cases = [("1", true), (" 1", true), ("0", false), ("", false), ("true", false)];
    for (value, leaves) in cases {
        assert_eq!(announces_leaving(&headers(&[("server-leaving", value)])), leaves, "{value:?}");
    }
    assert!(!announces_leaving(&HeaderMap::new()));
}
