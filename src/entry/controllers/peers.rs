//! Requests of other processes.

use std::sync::Arc;

use stakker::{Actor, CX, Share, call};

use super::{Configuration, DirectoryController, Placement};
use crate::{
    edge::{http_server::spawn, peer_link::Responder},
    entry::{
        board::{Board, Phase},
        context::Context,
        event::Event,
        jobs, work,
    },
    wire::{Adopted, HandedOver, PeerReply, PeerRequest, PlaceScope},
};

/// Answers requests of other processes.
pub struct Peers {
    board: Share<Board>,
    cx: Arc<Context>,
    placement: Actor<Placement>,
    configuration: Actor<Configuration>,
    directory: Actor<DirectoryController>,
}

impl Peers {
    /// Creates the controller; `others` carry out what concerns them.
    pub fn init(
        _: CX![],
        board: Share<Board>,
        context: Arc<Context>,
        others: (Actor<Placement>, Actor<Configuration>, Actor<DirectoryController>),
    ) -> Option<Self> {
        let (placement, configuration, directory) = others;
        Some(Self { board, cx: context, placement, configuration, directory })
    }

    /// Carries a request out.
    pub fn handle(&mut self, cx: CX![], request: PeerRequest, responder: Responder) {
        match request {
            PeerRequest::Place(req) if req.scope == PlaceScope::DataCentre => {
                let context = self.cx.clone();
                spawn("place", move || {
                    responder.reply(PeerReply::Place(work::place_in_data_centre(&context, req)));
                });
            }
            PeerRequest::Place(req) => {
                call!([self.placement], place_for_peer(req, responder));
            }
            PeerRequest::Release(release) => {
                call!([self.placement], release(release));
                responder.reply(PeerReply::Done);
            }
            PeerRequest::Renew(grants) => {
                call!([self.placement], renew(grants));
                responder.reply(PeerReply::Done);
            }
            PeerRequest::Notice { owner, grants, in_ms } => {
                call!([self.placement], noticed(owner, grants, in_ms));
                responder.reply(PeerReply::Done);
            }
            PeerRequest::ConfigAfter(known) => {
                call!([self.configuration], changes_after(known, responder));
            }
            PeerRequest::ConfigPush(changes) => {
                call!([self.configuration], apply(changes));
                responder.reply(PeerReply::Done);
            }
            PeerRequest::Directory => {
                call!([self.directory], copy(responder));
            }
            PeerRequest::HandOver(handed) => self.take_over(cx, handed, &responder),
            PeerRequest::WhoAdopted(home) => {
                let view = &self.board.ro(cx).view;
                let known = view.adopter(&home);
                let gone = known.is_none() && view.is_known_dead(&home);
                let reply = if gone { PeerReply::Gone } else { PeerReply::Adopted(known) };
                responder.reply(reply);
            }
        }
    }

    /// Takes records over and runs the requests in progress on from here.
    fn take_over(&mut self, cx: CX![], handed: HandedOver, responder: &Responder) {
        if self.board.ro(cx).phase != Phase::Serving {
            responder.reply(PeerReply::Refused);
            return;
        }
        let homes: Vec<_> = std::iter::once(handed.home).chain(handed.also).collect();
        let now = cx.now();
        let Ok(unfinished) = self.cx.records.adopt(homes.clone(), handed.records, now) else {
            responder.reply(PeerReply::Refused);
            return;
        };
        jobs::adopt(&self.cx, homes.iter().map(ToString::to_string).collect());
        for home in homes {
            let successor = self.cx.contact.clone();
            self.cx.board.send(Event::Adopted(Adopted { home, successor }));
        }
        log::info!("took over records, {} of them in progress", unfinished.len());
        for record in unfinished {
            let context = self.cx.clone();
            spawn("work", move || work::resume(&context, &record));
        }
        responder.reply(PeerReply::Accepted(self.cx.contact.clone()));
    }
}
