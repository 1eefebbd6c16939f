//! The digest of a request: the same when it comes again, another when anything differs
//! that an upstream could tell.

use tackhollow::gateway::model::RequestDigest;

fn digest(parts: [&str; 5]) -> RequestDigest {
    RequestDigest::of(&parts.map(str::as_bytes))
}

#[test]
fn only_the_same_request_has_the_same_digest() {
    struct Case {
        name: &'static str,
        parts: [&'static str; 5],
        same: bool,
    }
    let first = ["temple", "POST", "assistant.example", "/plan/7?draft=1", "prompt"];
    let cases = [
        Case { name: "sent again", parts: first, same: true },
        Case {
            name: "another customer",
            parts: ["kitchen", "POST", "assistant.example", "/plan/7?draft=1", "prompt"],
            same: false,
        },
        Case {
            name: "another method",
            parts: ["temple", "PUT", "assistant.example", "/plan/7?draft=1", "prompt"],
            same: false,
        },
        Case {
            name: "another query",
            parts: ["temple", "POST", "assistant.example", "/plan/7?draft=2", "prompt"],
            same: false,
        },
        Case {
            name: "another body",
            parts: ["temple", "POST", "assistant.example", "/plan/7?draft=1", "prompt "],
            same: false,
        },
        Case {
            name: "the same text, divided elsewhere",
            parts: ["temple", "POST", "assistant.example/plan", "/7?draft=1", "prompt"],
            same: false,
        },
    ];
    for case in cases {
        assert_eq!(digest(case.parts) == digest(first), case.same, "{}", case.name);
    }
}

/// Gateways of several versions compare digests: they must not change.
#[test]
fn the_digest_is_the_same_in_every_version() {
    let known = digest(["temple", "POST", "assistant.example", "/plan/7", "prompt"]);
    assert_eq!(known.to_string(), "4568fd5461ff91bd0fdc13740ed5069d");
}
