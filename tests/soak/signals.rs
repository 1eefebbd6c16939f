//! What upstreams ask for in their answers while gateways fail, and whether they got it.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use serde_json::Value;

use super::callers::Sent;
use crate::support::signals::{
    Arrival, COOLDOWN_HOLDS_AFTER, LEAVING_HOLDS_AFTER, LIMIT_HOLDS_AFTER,
    TOLERATED_DURING_COOLDOWN, arrivals, max_in_window, tolerated_in_window,
};

/// Time from an answer until its gateway is held to what it says. The answer may take a while
/// to be given and passed on.
const TOLD_AFTER: Duration = Duration::from_secs(1);

/// What an upstream asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Asked {
    /// So many requests a second from all gateways.
    Limit(f64),
    /// No requests any more.
    Leaving,
    /// No requests for a while from each gateway that it turns away.
    Rest(Duration),
}

/// A time in which an upstream asks for something, by the emulator's clock.
#[derive(Clone, Debug)]
pub struct Spell {
    pub upstream: String,
    pub asked: Asked,
    pub from: Duration,
    /// `None` while it lasts.
    pub until: Option<Duration>,
}

/// What happened to gateways: which, and when by the emulator's clock.
pub type Disturbed = Vec<(usize, Duration)>;

/// Returns a line for each time that an upstream did not get what it asked for from gateways
/// that knew and were not disturbed since.
pub fn ignored_signals(
    spells: &[Spell],
    disturbed: &Disturbed,
    gateways: &[SocketAddr],
    sent: &[Sent],
    seen: &Value,
) -> Vec<String> {
    let by_request: HashMap<&str, usize> = sent
        .iter()
        .filter_map(|s| Some((s.id.as_str(), gateways.iter().position(|g| *g == s.to)?)))
        .collect();
    spells.iter().filter_map(|s| ignored(s, disturbed, &by_request, seen)).collect()
}

fn ignored(
    spell: &Spell,
    disturbed: &Disturbed,
    by_request: &HashMap<&str, usize>,
    seen: &Value,
) -> Option<String> {
    let until = spell.until.unwrap_or(Duration::MAX);
    let during: Vec<(usize, Arrival)> = arrivals(seen, &spell.upstream)
        .into_iter()
        .filter(|a| (spell.from..until).contains(&a.at))
        .filter_map(|a| Some((*by_request.get(a.request.as_str())?, a)))
        .collect();
    // A gateway that was disturbed between two moments is not held to what it knew.
    let steady = |gateway: usize, from: Duration, to: Duration| {
        !disturbed.iter().any(|(g, at)| *g == gateway && (from..=to).contains(at))
    };
    let (got, most) = match spell.asked {
        Asked::Limit(rate) => {
            let told = |gateway: usize, at: Duration| {
                let answered = during
                    .iter()
                    .find(|(g, a)| *g == gateway && a.status > 0 && a.at + TOLD_AFTER <= at);
                answered.is_some() && steady(gateway, spell.from, at)
            };
            let counted: Vec<Arrival> =
                during.iter().filter(|(g, a)| told(*g, a.at)).map(|(_, a)| a.clone()).collect();
            (
                max_in_window(&counted, spell.from + LIMIT_HOLDS_AFTER, until),
                tolerated_in_window(rate),
            )
        }
        Asked::Leaving => {
            let told = |gateway: usize, late: &Arrival| {
                during.iter().find(|(g, a)| {
                    *g == gateway
                        && a.status > 0
                        && a.at + TOLD_AFTER + LEAVING_HOLDS_AFTER < late.at
                        && steady(*g, a.at, late.at)
                })
            };
            let late = during.iter().filter_map(|(gateway, late)| {
                told(*gateway, late).map(|(_, told)| (*gateway, late, told))
            });
            let late: Vec<_> = late.collect();
            late.iter().for_each(|late| println!("gateway, late, told: {late:?}"));
            (late.len(), 0)
        }
        Asked::Rest(rest) => {
            let during_rest = |(gateway, asked): &(usize, Arrival)| {
                let span = asked.at + COOLDOWN_HOLDS_AFTER..asked.at + rest;
                let of_gateway =
                    during.iter().filter(|(g, a)| g == gateway && span.contains(&a.at));
                of_gateway.filter(|(g, a)| steady(*g, asked.at, a.at)).count()
            };
            let asked = during.iter().filter(|(_, a)| a.status == 503);
            (asked.map(during_rest).max().unwrap_or_default(), TOLERATED_DURING_COOLDOWN)
        }
    };
    (got > most).then(|| format!("{spell:?}: {got} requests, {most} are borne"))
}
