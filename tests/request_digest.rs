//! Digest of a request: equal when the same request is sent again, different when anything differs
//! that an upstream could notice.

use tackhollow::gateway::model::RequestDigest;

fn digest(parts: [&str; 5]) -> RequestDigest {
    RequestDigest::of(&parts.map(str::as_bytes))
}

#[test]
fn equal_digests_mean_equal_requests() {
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
            name: "the same text, split at another place",
            parts: ["temple", "POST", "assistant.example/plan", "/7?draft=1", "prompt"],
            same: false,
        },
    ];
    for case in cases {
        assert_eq!(digest(case.parts) == digest(first), case.same, "{}", case.name);
    }
}

/// Gateways of different versions compare digests, so they must not change.
#[test]
fn digests_do_not_change_between_versions() {
    let known = digest(["temple", "POST", "assistant.example", "/plan/7", "prompt"]);
    assert_eq!(known.to_string(), "4568fd5461ff91bd0fdc13740ed5069d");
}
