//! Settings files: all invalid settings are reported with their keys, and
//! docs/SETTINGS.md lists exactly the keys that the daemons accept.

use std::{collections::BTreeSet, fs, path::Path};

use tackhollow::settings::{ControlSettings, EntrySettings, GatewaySettings, SettingsError};
use tempfile::TempDir;

/// A settings file and the errors that loading it must report.
struct Case {
    name: &'static str,
    text: &'static str,
    mistakes: &'static [&'static str],
}

const VALID: &str = "id = \"a\"\ndata_centre = \"b\"\nregion = \"c\"\n\
    [listen]\nhttp = \"127.0.0.1:1\"\npeer = \"127.0.0.1:2\"\ngossip = \"127.0.0.1:3\"\n\
    [peers]\nsecret = \"s\"\n[platform]\naddress = \"127.0.0.1:4\"\n";

const CASES: [Case; 6] = [
    Case { name: "valid", text: VALID, mistakes: &[] },
    Case {
        name: "empty",
        text: "",
        mistakes: &[
            "id: expected a text that is not empty, found nothing",
            "data_centre: expected a text that is not empty, found nothing",
            "region: expected a text that is not empty, found nothing",
            "listen.http: expected an IP number and a port, found nothing",
            "listen.peer: expected an IP number and a port, found nothing",
            "listen.gossip: expected an IP number and a port, found nothing",
            "peers.secret: expected a text that is not empty, found nothing",
            "platform.address: expected an IP number and a port, found nothing",
        ],
    },
    Case {
        name: "unknown keys",
        text: "colour = 1\n[limits]\nin_progres = 5\n",
        mistakes: &[
            "colour: expected one of the keys",
            "limits.in_progres: expected one of the keys",
        ],
    },
    Case {
        name: "wrong types",
        text: "id = 7\nlog_level = \"loud\"\n[listen]\nhttp = \"localhost:80\"\n[limits]\nin_progress = 0\nread_timeout_ms = \"1s\"\n",
        mistakes: &[
            "id: expected a text that is not empty, found integer 7",
            "log_level: expected one of error, warn, info, debug, found string \"loud\"",
            "listen.http: expected an IP number and a port, found string \"localhost:80\"",
            "limits.in_progress: expected a whole number above zero, found integer 0",
            "limits.read_timeout_ms: expected milliseconds above zero, found string \"1s\"",
        ],
    },
    Case {
        name: "operators",
        text: "[operators]\nkeys = [\"noi\", \"mali:12\"]\n",
        mistakes: &[
            "operators.keys: expected NAME:SHA256-IN-HEXADECIMAL, found a text of another shape",
        ],
    },
    Case { name: "not TOML", text: "id = ", mistakes: &["TOML parse error"] },
];

fn load(dir: &TempDir, text: &str) -> Result<EntrySettings, SettingsError> {
    let path = dir.path().join("entry.toml");
    fs::write(&path, text).expect("write the settings file");
    EntrySettings::load(&path)
}

#[test]
fn every_mistake_is_named() {
    let dir = TempDir::new().expect("create a temporary directory");
    for case in CASES {
        let message = load(&dir, case.text).map_or_else(|e| e.to_string(), |_| String::new());
        assert_eq!(message.is_empty(), case.mistakes.is_empty(), "{}: {message}", case.name);
        for mistake in case.mistakes {
            assert!(
                message.contains(mistake),
                "{}: {mistake:?} not reported in {message}",
                case.name
            );
        }
    }
}

#[test]
fn a_lease_without_room_for_its_margin_is_refused() {
    let dir = TempDir::new().expect("create a temporary directory");
    let path = dir.path().join("control.toml");
    let text = "id = \"a\"\ndata_centre = \"b\"\nlisten.http = \"127.0.0.1:1\"\n\
        platform.address = \"127.0.0.1:2\"\nlease.ttl_ms = 3000\nlease.margin_ms = 2500\n";
    fs::write(&path, text).expect("write the settings file");
    let message =
        ControlSettings::load(&path).expect_err("the settings must be rejected").to_string();
    assert!(message.contains("lease.margin_ms: expected less than"), "{message}");
}

/// Returns the keys that a daemon accepts, taken from its errors about an unknown key
/// `zz` in each section.
fn known_keys(sections: &[&str], load: impl Fn(&Path) -> String) -> BTreeSet<String> {
    let dir = TempDir::new().expect("create a temporary directory");
    let path = dir.path().join("settings.toml");
    let mut text = "zz = 1\n".to_owned();
    for section in sections {
        text.push_str(&format!("[{section}]\nzz = 1\n"));
    }
    fs::write(&path, text).expect("write the settings file");
    let mut keys = BTreeSet::new();
    for line in load(&path).lines().filter(|l| l.contains("an unknown key")) {
        let place = line.split(": ").nth(1).expect("the line names a key").trim_end_matches("zz");
        let (_, list) = line.split_once("one of the keys ").expect("the line lists the keys");
        let list = list.trim_end_matches(", found an unknown key");
        keys.extend(list.split(", ").map(|key| format!("{place}{key}")));
    }
    keys.retain(|key| !sections.contains(&key.as_str()));
    keys
}

/// Returns the keys listed in the tables of docs/SETTINGS.md below a heading.
fn documented_keys(heading: &str) -> BTreeSet<String> {
    let page = fs::read_to_string("docs/SETTINGS.md").expect("read docs/SETTINGS.md");
    let (_, below) = page.split_once(heading).expect("the page has the heading");
    let chapter = below.split("\n## ").next().unwrap_or_default();
    let rows = chapter.lines().filter_map(|l| l.strip_prefix("| `"));
    rows.filter_map(|row| row.split('`').next()).map(str::to_owned).collect()
}

#[test]
fn the_page_lists_every_key() {
    let sections = ["listen", "peers", "platform", "operators", "routing", "limits"];
    let entry = |path: &Path| {
        EntrySettings::load(path).expect_err("the settings must be rejected").to_string()
    };
    assert_eq!(known_keys(&sections, entry), documented_keys("## tackhollow-entry"));
    let sections = ["listen", "platform", "lease"];
    let control = |path: &Path| {
        ControlSettings::load(path).expect_err("the settings must be rejected").to_string()
    };
    assert_eq!(known_keys(&sections, control), documented_keys("## tackhollow-control"));
    let sections = ["listen", "platform", "bounds", "capacity", "load", "host"];
    let gateway = |path: &Path| {
        GatewaySettings::load(path).expect_err("the settings must be rejected").to_string()
    };
    assert_eq!(known_keys(&sections, gateway), documented_keys("## tackhollow-gateway"));
}

#[test]
fn a_gateway_names_every_mistake_with_its_unit() {
    struct InvalidSetting {
        text: &'static str,
        expected: &'static str,
    }
    let cases = [
        InvalidSetting {
            text: "[bounds]\ngrace_s = 0",
            expected: "bounds.grace_s: expected seconds above zero",
        },
        InvalidSetting {
            text: "[bounds]\ngrace_s = \"8s\"",
            expected: "bounds.grace_s: expected a number",
        },
        InvalidSetting {
            text: "[bounds]\nretry_ratio = -1",
            expected: "bounds.retry_ratio: expected a number",
        },
        InvalidSetting {
            text: "[bounds]\nlease_ms = 0.5",
            expected: "bounds.lease_ms: expected milliseconds",
        },
        InvalidSetting {
            text: "[load]\ncontrol = true",
            expected: "load.control: expected one of off, on",
        },
        InvalidSetting {
            text: "[load]\nplacement = \"best\"",
            expected: "load.placement: expected one of first_event, cost",
        },
        InvalidSetting {
            text: "[load]\ncandidates = 8",
            expected: "load.candidates: expected one of sample, all",
        },
        InvalidSetting {
            text: "[load]\nmin_spread = -3",
            expected: "load.min_spread: expected a number",
        },
        InvalidSetting {
            text: "[host]\nmemory_mb = 0\ndescriptors = 512",
            expected: "host.memory_mb: expected a whole number above zero",
        },
        InvalidSetting {
            text: "[host]\ndescriptors = \"many\"",
            expected: "host.descriptors: expected a whole number above zero",
        },
        InvalidSetting {
            text: "[platform]\nstore = \"x\"",
            expected: "platform.store: expected an IP number",
        },
        InvalidSetting {
            text: "off = [\"need_peak\", \"sleep\"]",
            expected: "off: expected some of learnt_speed, known_caches",
        },
        InvalidSetting {
            text: "[capacity]\nfactor = 1",
            expected: "capacity.factor: expected one of the keys",
        },
    ];
    let dir = TempDir::new().expect("create a temporary directory");
    let path = dir.path().join("gateway.toml");
    for case in cases {
        fs::write(&path, case.text).expect("write the settings file");
        let message =
            GatewaySettings::load(&path).expect_err("the settings must be rejected").to_string();
        assert!(message.contains(case.expected), "{}: {message}", case.expected);
    }
}
