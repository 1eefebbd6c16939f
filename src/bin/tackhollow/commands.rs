//! The commands; all but `gateways` use the operators' API.

use std::{
    collections::BTreeMap,
    fs,
    net::SocketAddr,
    path::Path,
    thread,
    time::{Duration, Instant},
};

use anyhow::{Context, Result, anyhow, bail};
use serde_json::{Value, json};
use tackhollow::config::{Drain, Item, parse_document};

use super::{
    api::Api,
    cli::{Args, Command, Filter, Output},
    gateways::gateways,
    output::print_table,
};

/// Interval between polls of the entry hosts in `wait`.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Runs a command and prints its result.
///
/// # Errors
///
/// Returns an error if a call fails, a file cannot be used or a condition is not met.
pub fn run(args: &Args, command: &Command) -> Result<()> {
    let api = Api::new(args.entries.clone(), &args.key);
    let out = args.output;
    match command {
        Command::Help | Command::Version => Ok(()),
        Command::Apply { file, dry_run, expect } => apply(&api, out, file, *dry_run, *expect),
        Command::Diff { file } => diff(&api, out, file),
        Command::Get { key } => get(&api, out, key.as_deref()),
        Command::Remove { key } => remove(&api, out, key),
        Command::History(filter) => history(&api, out, filter, false),
        Command::Audit(filter) => history(&api, out, filter, true),
        Command::Status => status(&api, out, &args.entries),
        Command::Explain { id } => explain(&api, out, id),
        Command::Drain { target, reason } => {
            let drain = Drain { target: target.clone(), reason: reason.clone() };
            change(&api, out, &Item::Drain(drain), false, None)
        }
        Command::Undrain { target } => remove(&api, out, &format!("drain/{target}")),
        Command::Wait { version, timeout } => wait(&api, out, &args.entries, *version, *timeout),
        Command::Entries => entries(&api, out),
        Command::Gateways { addresses } => gateways(addresses, out),
    }
}

fn load(file: &Path) -> Result<Vec<Item>> {
    let text = fs::read_to_string(file).with_context(|| file.display().to_string())?;
    parse_document(&text).map_err(|errors| {
        let lines: Vec<String> =
            errors.iter().map(|m| format!("{}: {m}", file.display())).collect();
        anyhow!("{}", lines.join("\n"))
    })
}

fn apply(api: &Api, out: Output, file: &Path, dry_run: bool, expect: Option<u64>) -> Result<()> {
    let items = load(file)?;
    if expect.is_some() && items.len() != 1 {
        bail!("--expect goes with a file of one item; this one has {}", items.len());
    }
    for item in &items {
        change(api, out, item, dry_run, expect)?;
    }
    Ok(())
}

/// Sends a change of one item. It is accepted only if the item is still at version `expect`, or,
/// without `expect`, at the version that is in force now.
fn change(api: &Api, out: Output, item: &Item, dry_run: bool, expect: Option<u64>) -> Result<()> {
    let key = item.key();
    let expected = match expect {
        Some(version) => version,
        None => version_of(&in_force(api)?, &key.to_string()),
    };
    let body = json!({ "key": key, "to": item, "expect": expected, "dry_run": dry_run });
    report(out, &key.to_string(), &api.change(&body)?);
    Ok(())
}

fn remove(api: &Api, out: Output, key: &str) -> Result<()> {
    let (kind, name) = key.split_once('/').context("expected KIND/NAME")?;
    let version = version_of(&in_force(api)?, key);
    if version == 0 {
        bail!("{key} is not in force");
    }
    let body = json!({ "key": { "kind": kind, "name": name }, "to": null, "expect": version });
    report(out, key, &api.change(&body)?);
    Ok(())
}

fn report(out: Output, key: &str, answer: &Value) {
    if out == Output::Json {
        println!("{answer}");
        return;
    }
    let flag = |name: &str| answer.get(name).and_then(Value::as_bool).unwrap_or_default();
    match () {
        () if flag("dry_run") => println!("{key}: no mistakes (dry run)"),
        () if flag("unchanged") => println!("{key}: unchanged since version {}", answer["version"]),
        () => println!("{key}: accepted as version {}", answer["version"]),
    }
}

/// Returns the items in force, keyed by `KIND/NAME`.
fn in_force(api: &Api) -> Result<BTreeMap<String, Value>> {
    let answer = api.get("/v1/admin/items")?;
    let items = answer["items"].as_array().cloned().unwrap_or_default();
    Ok(items.into_iter().map(|i| (key_text(&i["key"]), i)).collect())
}

/// Returns the version of an item; 0 if it is not in force.
fn version_of(items: &BTreeMap<String, Value>, key: &str) -> u64 {
    items.get(key).and_then(|i| i["version"].as_u64()).unwrap_or_default()
}

fn key_text(key: &Value) -> String {
    format!("{}/{}", text(&key["kind"]), text(&key["name"]))
}

/// Returns the contents of a JSON string, and any other value as JSON.
fn text(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}

fn diff(api: &Api, out: Output, file: &Path) -> Result<()> {
    let items = load(file)?;
    let current = in_force(api)?;
    let mut changes = Vec::new();
    for item in &items {
        let key = item.key().to_string();
        let old = current.get(&key).map_or(Value::Null, |i| i["item"].clone());
        let new = json!(item);
        if old != new {
            changes.push(json!({ "key": key, "from": old, "to": new }));
        }
    }
    if out == Output::Json {
        println!("{}", json!(changes));
        return Ok(());
    }
    for change in &changes {
        println!("{}", text(&change["key"]));
        print_lines("-", &change["from"]);
        print_lines("+", &change["to"]);
    }
    if changes.is_empty() {
        println!("no changes");
    }
    Ok(())
}

fn print_lines(sign: &str, value: &Value) {
    if value.is_null() {
        return;
    }
    let text = serde_json::to_string_pretty(value).unwrap_or_default();
    for line in text.lines() {
        println!("{sign} {line}");
    }
}

fn get(api: &Api, out: Output, key: Option<&str>) -> Result<()> {
    let items = in_force(api)?;
    if let Some(key) = key {
        let item = items.get(key).with_context(|| format!("{key} is not in force"))?;
        println!("{}", serde_json::to_string_pretty(item)?);
        return Ok(());
    }
    if out == Output::Json {
        println!("{}", json!(items.values().collect::<Vec<_>>()));
        return Ok(());
    }
    let rows: Vec<Vec<String>> =
        items.iter().map(|(key, i)| vec![key.clone(), i["version"].to_string()]).collect();
    print_table(&["ITEM", "VERSION"], &rows);
    Ok(())
}

fn history(api: &Api, out: Output, filter: &Filter, with_refusals: bool) -> Result<()> {
    let mut changes = all_changes(api, filter.after)?;
    if with_refusals {
        let answer = api.get("/v1/admin/refusals")?;
        changes.extend(answer["refusals"].as_array().cloned().unwrap_or_default());
        changes.sort_by_key(|c| c["at_ms"].as_u64());
    }
    changes.retain(|c| filter.name.as_ref().is_none_or(|n| key_text(&c["key"]) == *n));
    changes.retain(|c| filter.by.as_ref().is_none_or(|by| text(&c["by"]) == *by));
    if out == Output::Json {
        println!("{}", json!(changes));
        return Ok(());
    }
    let rows: Vec<Vec<String>> = changes.iter().map(history_row).collect();
    print_table(&["AT (UNIX MS)", "VERSION", "ITEM", "WHAT", "BY", "VIA"], &rows);
    Ok(())
}

/// Reads all accepted changes after a version, page by page.
fn all_changes(api: &Api, mut after: u64) -> Result<Vec<Value>> {
    let mut all = Vec::new();
    loop {
        let answer = api.get(&format!("/v1/admin/changes?after={after}"))?;
        let page = answer["changes"].as_array().cloned().unwrap_or_default();
        let Some(last) = page.last().and_then(|c| c["version"].as_u64()) else {
            return Ok(all);
        };
        after = last;
        all.extend(page);
    }
}

fn history_row(change: &Value) -> Vec<String> {
    let refused = change["accepted"].as_bool() == Some(false);
    let what = match () {
        () if refused => format!("refused: {}", text(&change["reason"])),
        () if change["to"].is_null() => "removed".to_owned(),
        () if change["from"].is_null() => "created".to_owned(),
        () => "changed".to_owned(),
    };
    let version = change["version"].as_u64().map_or("-".to_owned(), |v| v.to_string());
    let key = key_text(&change["key"]);
    let (by, via) = (text(&change["by"]), text(&change["via"]));
    vec![change["at_ms"].to_string(), version, key, what, by, via]
}

/// Returns the status of the given entry hosts and of all that are reachable through them, or the
/// error if one cannot be read.
fn all_statuses(api: &Api, entries: &[SocketAddr]) -> Vec<(SocketAddr, Result<Value, String>)> {
    let mut pending: Vec<SocketAddr> = entries.to_vec();
    let mut statuses: BTreeMap<SocketAddr, Result<Value, String>> = BTreeMap::new();
    while let Some(addr) = pending.pop() {
        if statuses.contains_key(&addr) {
            continue;
        }
        let status = api.get_from(addr, "/v1/admin/status").map_err(|e| e.to_string());
        if let Ok(status) = &status {
            pending.extend(known_addresses(status));
        }
        statuses.insert(addr, status);
    }
    statuses.into_iter().collect()
}

/// Returns the addresses of the members that are not dead and of the contacts in other data centres.
fn known_addresses(status: &Value) -> Vec<SocketAddr> {
    let elements = |v: &Value| v.as_array().cloned().unwrap_or_default();
    let alive = |m: &Value| m["liveness"] != "dead";
    let members = elements(&status["members"]).into_iter().filter(alive);
    let members = members.map(|m| text(&m["http"]));
    let contacts =
        elements(&status["data_centres"]).into_iter().flat_map(|d| elements(&d["contacts"]));
    members.chain(contacts.map(|c| text(&c))).filter_map(|a| a.parse().ok()).collect()
}

fn status(api: &Api, out: Output, entries: &[SocketAddr]) -> Result<()> {
    let statuses = all_statuses(api, entries);
    if statuses.iter().all(|(_, s)| s.is_err()) {
        let error = statuses.iter().find_map(|(_, s)| s.as_ref().err().cloned());
        return Err(super::api::ApiError::Unreachable(error.unwrap_or_default()).into());
    }
    if out == Output::Json {
        let ok: Vec<&Value> = statuses.iter().filter_map(|(_, s)| s.as_ref().ok()).collect();
        println!("{}", json!(ok));
        return Ok(());
    }
    let problems = find_problems(&statuses);
    println!("{}", if problems.is_empty() { "all well" } else { "NOT WELL" });
    for problem in &problems {
        println!("  {problem}");
    }
    println!();
    print_entries(&statuses);
    println!();
    print_upstreams(&statuses);
    Ok(())
}

/// Describes each problem in a line, in the order of the entry hosts.
fn find_problems(statuses: &[(SocketAddr, Result<Value, String>)]) -> Vec<String> {
    let mut problems = Vec::new();
    let ok = || statuses.iter().filter_map(|(_, s)| s.as_ref().ok());
    let newest = ok().filter_map(|s| s["config_version"].as_u64()).max().unwrap_or_default();
    for (addr, status) in statuses {
        let Ok(status) = status else {
            problems.push(format!("entry host at {addr} does not answer"));
            continue;
        };
        let id = text(&status["id"]);
        if status["phase"] != "serving" {
            problems.push(format!("entry host {id} is {}", text(&status["phase"])));
        }
        let version = status["config_version"].as_u64().unwrap_or_default();
        if version < newest {
            problems.push(format!("entry host {id} has configuration {version}, not {newest}"));
        }
        match status["platform_silence_s"].as_u64() {
            None => problems.push(format!("entry host {id} has not reached the platform")),
            Some(s) if s > 15 => {
                problems.push(format!("entry host {id}: the platform is silent for {s} s"));
            }
            Some(_) => {}
        }
        for upstream in status["upstreams"].as_array().into_iter().flatten() {
            if upstream["state"] != "working" {
                let (u, state) = (text(&upstream["id"]), text(&upstream["state"]));
                problems.push(format!("upstream {u} (owner {id}) is {state}"));
            }
        }
    }
    problems
}

fn print_entries(statuses: &[(SocketAddr, Result<Value, String>)]) {
    let row = |(addr, s): &(SocketAddr, Result<Value, String>)| {
        let s = s.as_ref().ok()?;
        let owned = s["upstreams"].as_array().map_or(0, Vec::len);
        Some(vec![
            text(&s["data_centre"]),
            text(&s["id"]),
            addr.to_string(),
            text(&s["phase"]),
            s["config_version"].to_string(),
            s["in_progress"].to_string(),
            owned.to_string(),
        ])
    };
    let mut rows: Vec<Vec<String>> = statuses.iter().filter_map(row).collect();
    rows.sort();
    let heading = ["DATA CENTRE", "ENTRY", "ADDRESS", "PHASE", "CONFIG", "IN PROGRESS", "OWNS"];
    print_table(&heading, &rows);
}

fn print_upstreams(statuses: &[(SocketAddr, Result<Value, String>)]) {
    let mut rows = Vec::new();
    for status in statuses.iter().filter_map(|(_, s)| s.as_ref().ok()) {
        for u in status["upstreams"].as_array().into_iter().flatten() {
            rows.push(vec![
                text(&status["data_centre"]),
                text(&u["id"]),
                text(&u["state"]),
                format!("{}/{}", u["in_use"], u["slots"]),
                text(&status["id"]),
            ]);
        }
    }
    rows.sort();
    print_table(&["DATA CENTRE", "UPSTREAM", "STATE", "IN USE", "OWNER"], &rows);
}

fn explain(api: &Api, out: Output, id: &str) -> Result<()> {
    let path = format!("/v1/admin/explain?id={id}");
    let mut answer = api.get(&path)?;
    if let Some(addr) = answer["ask"].as_str().and_then(|a| a.parse().ok()) {
        answer = api.get_from(addr, &path)?;
    }
    if out == Output::Json {
        println!("{answer}");
        return Ok(());
    }
    if answer.get("trail").is_none() {
        bail!("the entry host that held {id} is gone, and nobody took its records over");
    }
    println!("request   {}", text(&answer["request_id"]));
    println!("customer  {}", text(&answer["customer"]));
    println!("class     {}", text(&answer["class"]));
    println!("tokens    {}", answer["tokens"]);
    let outcome = answer["outcome"].as_str().unwrap_or("in progress");
    println!("outcome   {outcome}");
    for step in answer["trail"].as_array().into_iter().flatten() {
        println!("  {}", text(step));
    }
    Ok(())
}

fn wait(
    api: &Api,
    out: Output,
    entries: &[SocketAddr],
    version: u64,
    timeout: Duration,
) -> Result<()> {
    let started = Instant::now();
    loop {
        let statuses = all_statuses(api, entries);
        let behind = |s: &Value| s["config_version"].as_u64() < Some(version);
        let lagging: Vec<String> = statuses
            .iter()
            .filter(|(_, s)| s.as_ref().is_ok_and(behind))
            .map(|(addr, _)| addr.to_string())
            .collect();
        let reached = statuses.iter().filter(|(_, s)| s.is_ok()).count();
        if lagging.is_empty() && reached > 0 {
            if out == Output::Table {
                println!("version {version} is in force on {reached} entry hosts");
            } else {
                println!("{}", json!({ "version": version, "entry_hosts": reached }));
            }
            return Ok(());
        }
        if started.elapsed() >= timeout {
            bail!("version {version} is not in force on {}", lagging.join(", "));
        }
        thread::sleep(POLL_INTERVAL);
    }
}

fn entries(api: &Api, out: Output) -> Result<()> {
    let answer = api.get("/v1/entries")?;
    if out == Output::Json {
        println!("{answer}");
        return Ok(());
    }
    let entries = answer["entries"].as_array().cloned().unwrap_or_default();
    let rows: Vec<Vec<String>> = entries
        .iter()
        .map(|e| vec![text(&e["url"]), text(&e["data_centre"]), text(&e["id"])])
        .collect();
    print_table(&["URL", "DATA CENTRE", "ENTRY"], &rows);
    Ok(())
}
