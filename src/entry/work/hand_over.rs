//! Handing records over to a successor.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    entry::{context::Context, event::Event},
    record::{Record, RecordSnapshot},
    wire::{Contact, HandedOver, PeerReply, PeerRequest},
};

/// Longest wait for a successor's answer.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for calls that may not be repeated to end before the hand-over.
const SETTLE: Duration = Duration::from_millis(500);

/// Hands every record over to a process of another data centre, or of this
/// one where no other takes them, and tells the blackboard who did.
pub fn hand_over(cx: &Arc<Context>) {
    let records = cx.records.close();
    settle(cx);
    for record in &records {
        record.freeze();
    }
    let now = Instant::now();
    let snapshots: Vec<RecordSnapshot> = records.iter().map(|r| r.snapshot(now)).collect();
    let handed =
        HandedOver { home: cx.home().clone(), also: cx.records.adopted(), records: snapshots };
    let successor = find_successor(cx, &handed);
    conclude(cx, &records, successor.as_ref());
    cx.board.send(Event::HandedOver(successor));
}

/// Waits a little for calls that may not be repeated, then ends the rest as unknown.
fn settle(cx: &Context) {
    let until = Instant::now() + SETTLE;
    let unrepeatable = |r: &Arc<Record>| !r.work.is_repeatable();
    while Instant::now() < until && cx.records.in_progress().iter().any(unrepeatable) {
        thread::sleep(Duration::from_millis(10));
    }
    cx.records.settle_unrepeatable();
}

fn find_successor(cx: &Context, handed: &HandedOver) -> Option<Contact> {
    let contacts = cx.board.ask(Event::Contacts).unwrap_or_default();
    for contact in contacts {
        let request = PeerRequest::HandOver(handed.clone());
        match cx.peer.call(contact.peer, request, ACCEPT_TIMEOUT) {
            Ok(PeerReply::Accepted(successor)) => return Some(successor),
            Ok(_) => log::info!("{} takes no records", contact.id),
            Err(e) => log::warn!("{} takes no records: {e}", contact.id),
        }
    }
    None
}

fn conclude(cx: &Context, records: &[Arc<Record>], successor: Option<&Contact>) {
    match successor {
        Some(contact) => {
            for record in records.iter().filter(|r| r.outcome().is_none()) {
                record.note(format!("handed over to {}", contact.id));
                record.move_to(contact.clone());
            }
            for record in records {
                record.unfreeze();
            }
        }
        None => {
            for record in records {
                record.unfreeze();
            }
            cx.records.reopen();
        }
    }
}
