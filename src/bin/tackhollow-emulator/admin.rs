//! HTTP control interface of the emulator for tests and the demo.

use std::{
    collections::{HashMap, HashSet},
    net::Ipv4Addr,
    rc::Rc,
    time::{Duration, Instant},
};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use hyper::{HeaderMap, Request, Response, StatusCode, body::Incoming};
use serde_json::{Value, json};
use tackhollow::gateway::net::{AnswerBody, IntakeConnection, Service};
use tokio::task::spawn_local;

use crate::{
    answer::{empty, json as answer, read_json},
    network::Cut,
    platform::{Behaviour, Platform, ResponseFraming, StoreMode, Upstream, upstream_row},
    process, rollout,
    room::Room,
};

/// Service that answers control calls.
pub struct Admin {
    /// The emulated platform.
    pub platform: Rc<Platform>,
}

impl Service for Admin {
    async fn answer(
        self: Rc<Self>,
        request: Request<Incoming>,
        _: Rc<IntakeConnection>,
    ) -> Response<AnswerBody> {
        let path = request.uri().path().to_owned();
        let body = read_json(request.into_body()).await;
        let done = match path.as_str() {
            "/configuration" => self.configure(&body),
            "/engine" => return self.start_upstream(&body).await,
            "/behaviour" => self.set_behaviour(&body),
            "/framing" => self.set_framing(&body),
            "/row" => self.set_slots(&body),
            "/room" => self.set_room(&body),
            "/signals" => self.set_signals(&body),
            "/state" => self.set_state(&body),
            "/remove" => self.remove(&body),
            "/restart" => self.restart(&body),
            "/entry" => self.write_raw_row(&body),
            "/crash" => self.crash(&body),
            "/down" => self.set_down_time(&body),
            "/crashing-parts" => self.set_crashing_parts(&body),
            "/store" => self.set_store(&body),
            "/pages" => self.set_pages(&body),
            "/forget" => self.discard_history(),
            "/copy-store" => self.copy_store(),
            "/return-store" => self.return_store(&body),
            "/cut" => self.cut(&body),
            "/rollout" => self.roll_out(&body),
            "/seen" => return self.recorded(),
            _ => None,
        };
        empty(if done.is_some() { StatusCode::OK } else { StatusCode::BAD_REQUEST })
    }
}

impl Admin {
    /// Writes the configuration in place of the operator.
    fn configure(&self, body: &Value) -> Option<()> {
        self.platform.put("op", "config", Some(STANDARD.encode(body.to_string())));
        Some(())
    }

    /// Starts an upstream. Fields: `service`, `version`, `workMs`, `zone`, `spot` and, if callers
    /// reach it at another address than its own, the `address` to write into its row.
    async fn start_upstream(&self, body: &Value) -> Response<AnswerBody> {
        let id = format!("i-{}", self.platform.state.borrow().upstreams.len() + 1);
        let Ok(listener) = process::open((process::own_ip(), 0).into()).await else {
            return empty(StatusCode::INTERNAL_SERVER_ERROR);
        };
        let Ok(address) = listener.local_addr() else {
            return empty(StatusCode::INTERNAL_SERVER_ERROR);
        };
        let text = |name: &str| body[name].as_str().unwrap_or_default();
        let spot = body["spot"].as_bool().unwrap_or_default();
        let row_address = text("address").parse().unwrap_or(address);
        let version = body["version"].as_str().unwrap_or("v1");
        let row = upstream_row(text("service"), version, text("zone"), spot, row_address);
        let upstream = Upstream {
            behaviour: Behaviour::Serve,
            work: Duration::from_millis(body["workMs"].as_u64().unwrap_or_default()),
            only_path: String::new(),
            framing: ResponseFraming::default(),
            signals: HeaderMap::new(),
            room: None,
            row: row.clone(),
            reading_until: Instant::now(),
            cache: HashSet::new(),
            starts: 1,
            address,
            process: Some(process::start(&self.platform, &id, listener)),
        };
        self.platform.state.borrow_mut().upstreams.insert(id.clone(), upstream);
        self.platform.put("servers", &id, Some(STANDARD.encode(row.to_string())));
        answer(StatusCode::OK, &json!({ "id": id, "address": address }))
    }

    /// Sets the behaviour of one upstream, or of all if there is no `id`. Fields: `id`,
    /// `behaviour` and `path`, the prefix of the request paths to which it applies.
    fn set_behaviour(&self, body: &Value) -> Option<()> {
        let behaviour: Behaviour = serde_json::from_value(body["behaviour"].clone()).ok()?;
        let path = body["path"].as_str().unwrap_or_default();
        let set = |upstream: &mut Upstream| {
            upstream.behaviour = behaviour;
            upstream.only_path = path.to_owned();
        };
        let mut state = self.platform.state.borrow_mut();
        match body["id"].as_str() {
            Some(id) => set(state.upstreams.get_mut(id)?),
            None => state.upstreams.values_mut().for_each(set),
        }
        Some(())
    }

    /// Sets how the responses of one upstream, or of all if there is no `id`, show where they end.
    /// Fields: `id`, `framing`.
    fn set_framing(&self, body: &Value) -> Option<()> {
        let framing: ResponseFraming = serde_json::from_value(body["framing"].clone()).ok()?;
        let mut state = self.platform.state.borrow_mut();
        match body["id"].as_str() {
            Some(id) => state.upstreams.get_mut(id)?.framing = framing,
            None => state.upstreams.values_mut().for_each(|u| u.framing = framing),
        }
        Some(())
    }

    /// Sets the headers that an upstream adds to all its responses. Fields: `id` and
    /// `headers`, values by name.
    fn set_signals(&self, body: &Value) -> Option<()> {
        let headers: HashMap<String, String> =
            serde_json::from_value(body["headers"].clone()).ok()?;
        let signals = HeaderMap::try_from(&headers).ok()?;
        self.platform.state.borrow_mut().upstreams.get_mut(body["id"].as_str()?)?.signals = signals;
        Some(())
    }

    /// Sets the number of slots in the row of an upstream. Fields: `id`, `slots`.
    fn set_slots(&self, body: &Value) -> Option<()> {
        let id = body["id"].as_str()?;
        let row = {
            let mut state = self.platform.state.borrow_mut();
            let upstream = state.upstreams.get_mut(id)?;
            upstream.row["slots"] = body["slots"].clone();
            upstream.row.to_string()
        };
        self.platform.put("servers", id, Some(STANDARD.encode(row)));
        Some(())
    }

    /// Limits the room of an upstream. Fields: `id`, `slots`, `waiting` and, if it falls over when
    /// it rejects more requests in a second, `brittle`.
    fn set_room(&self, body: &Value) -> Option<()> {
        let number = |name: &str| body[name].as_u64().map(|n| n as usize);
        let room = Room::new(number("slots")?, number("waiting")?, number("brittle"));
        let mut state = self.platform.state.borrow_mut();
        state.upstreams.get_mut(body["id"].as_str()?)?.room = Some(room);
        Some(())
    }

    /// Writes a roll-out order in place of the operator, or removes it if `order` is null.
    /// Fields: `service`, `order`. The upstreams then react to the status of the roll-out.
    fn roll_out(&self, body: &Value) -> Option<()> {
        let key = format!("rollout/{}", body["service"].as_str()?);
        let order = &body["order"];
        let value = (!order.is_null()).then(|| STANDARD.encode(order.to_string()));
        self.platform.put("op", &key, value);
        if order.is_object() {
            spawn_local(rollout::follow_order(self.platform.clone(), order.clone()));
        }
        Some(())
    }

    /// Sets the state in the row of an upstream. Fields: `id`, `state`.
    fn set_state(&self, body: &Value) -> Option<()> {
        let id = body["id"].as_str()?;
        let row = {
            let mut state = self.platform.state.borrow_mut();
            let upstream = state.upstreams.get_mut(id)?;
            upstream.row["state"] = body["state"].clone();
            upstream.row.to_string()
        };
        self.platform.put("servers", id, Some(STANDARD.encode(row)));
        Some(())
    }

    /// Removes the row of an upstream, or writes it again if `back` is true. Fields: `id`,
    /// `back`.
    fn remove(&self, body: &Value) -> Option<()> {
        let id = body["id"].as_str()?;
        let row = self.platform.state.borrow().upstreams.get(id)?.row.to_string();
        let back = body["back"].as_bool().unwrap_or_default();
        self.platform.put("servers", id, back.then(|| STANDARD.encode(row)));
        Some(())
    }

    /// Restarts an upstream under the same id. Its cache and running requests are lost.
    /// Connections to it stay open without sending anything, as after a network partition.
    /// Fields: `id`, `born`, the start time by the upstream's clock, and `version` if it changes.
    fn restart(&self, body: &Value) -> Option<()> {
        let id = body["id"].as_str()?;
        let row = {
            let mut state = self.platform.state.borrow_mut();
            let upstream = state.upstreams.get_mut(id)?;
            upstream.row["born"] = body["born"].clone();
            if body["version"].is_string() {
                upstream.row["version"] = body["version"].clone();
            }
            upstream.row["sequence"] = json!(0);
            upstream.behaviour = Behaviour::Serve;
            upstream.reading_until = Instant::now();
            upstream.cache.clear();
            upstream.starts += 1;
            upstream.row.to_string()
        };
        self.platform.put("servers", id, Some(STANDARD.encode(row)));
        Some(())
    }

    /// Crashes an upstream, which restarts by itself. Field: `id`.
    fn crash(&self, body: &Value) -> Option<()> {
        let id = body["id"].as_str()?;
        self.platform.crashing.send(id.to_owned()).ok()
    }

    /// Sets how long an upstream stays down after a crash. Field: `ms`.
    fn set_down_time(&self, body: &Value) -> Option<()> {
        self.platform.state.borrow_mut().down_time = Duration::from_millis(body["ms"].as_u64()?);
        Some(())
    }

    /// Sets the parts of prompts that crash each upstream that begins to write an answer on them.
    /// Field: `ids`.
    fn set_crashing_parts(&self, body: &Value) -> Option<()> {
        let ids = serde_json::from_value(body["ids"].clone()).ok()?;
        self.platform.state.borrow_mut().crashing_parts = ids;
        Some(())
    }

    /// Writes any text as the row of an upstream, or of another `table`, in place of another writer, or
    /// removes the row if `text` is null. Fields: `id`, `text`, `table`.
    fn write_raw_row(&self, body: &Value) -> Option<()> {
        let (id, text) = (body["id"].as_str()?, &body["text"]);
        let value = if text.is_null() { None } else { Some(STANDARD.encode(text.as_str()?)) };
        self.platform.put(body["table"].as_str().unwrap_or("servers"), id, value);
        Some(())
    }

    /// Cuts IP addresses off from all upstreams, in place of earlier cuts. Fields: `sources`, the
    /// addresses, and `cut`.
    fn cut(&self, body: &Value) -> Option<()> {
        let sources: Vec<Ipv4Addr> = serde_json::from_value(body["sources"].clone()).ok()?;
        let cut: Cut = serde_json::from_value(body["cut"].clone()).ok()?;
        let cuts = sources.into_iter().map(|source| (source, cut)).collect();
        match self.platform.network.set_cuts(cuts) {
            Ok(()) => Some(()),
            Err(e) => {
                eprintln!("the cut is not applied: {e}");
                None
            }
        }
    }

    fn set_store(&self, body: &Value) -> Option<()> {
        let mode: StoreMode = serde_json::from_value(body["mode"].clone()).ok()?;
        let mut state = self.platform.state.borrow_mut();
        state.store_mode = mode;
        state.silences += u64::from(mode == StoreMode::Silent);
        Some(())
    }

    /// Sets the largest number of rows on a page of the store. Field: `rows`.
    fn set_pages(&self, body: &Value) -> Option<()> {
        let rows = body["rows"].as_u64().filter(|rows| *rows > 0)?;
        self.platform.state.borrow_mut().page_rows = rows as usize;
        Some(())
    }

    /// Discards the change history of the store, so that feeds from earlier versions fail.
    fn discard_history(&self) -> Option<()> {
        let mut state = self.platform.state.borrow_mut();
        state.discarded_up_to = state.version;
        state.history.clear();
        drop(state);
        self.platform.changed.notify_waiters();
        Some(())
    }

    /// Takes a copy of the store.
    fn copy_store(&self) -> Option<()> {
        self.platform.copy_store();
        Some(())
    }

    /// Lets the store return from its last copy. Field: `rewriteMs`, the time after which the
    /// operator and the upstreams write again what was lost.
    fn return_store(&self, body: &Value) -> Option<()> {
        let rewrite = Duration::from_millis(body["rewriteMs"].as_u64()?);
        self.platform.return_from_copy(rewrite);
        Some(())
    }

    /// Returns the recorded requests to upstreams, API calls and roll-out status.
    fn recorded(&self) -> Response<AnswerBody> {
        let state = self.platform.state.borrow();
        let body = json!({
            "arrivals": state.arrivals,
            "falls": state.falls,
            "downtimes": state.downtimes,
            "runs": state.runs,
            "duties": state.api_calls,
            "store_calls": state.store_calls,
            "status": rollout::statuses(&state),
            "now_ms": self.platform.now_ms(),
        });
        answer(StatusCode::OK, &body)
    }
}
