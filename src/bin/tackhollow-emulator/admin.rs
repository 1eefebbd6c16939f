//! Control of the emulator by tests and the demo.

use std::{
    collections::{HashMap, HashSet},
    rc::Rc,
    time::{Duration, Instant},
};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use hyper::{HeaderMap, Request, Response, StatusCode, body::Incoming};
use serde_json::{Value, json};
use tackhollow::gateway::net::{AnswerBody, Service};
use tokio::task::spawn_local;

use crate::{
    answer::{empty, json as answer, read_json},
    process, rollout,
    world::{Behaviour, Engine, StoreMode, World, upstream_row},
};

/// The control door.
pub struct Admin {
    /// The platform.
    pub world: Rc<World>,
}

impl Service for Admin {
    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Response<AnswerBody> {
        let path = request.uri().path().to_owned();
        let body = read_json(request.into_body()).await;
        let done = match path.as_str() {
            "/configuration" => self.configure(&body),
            "/engine" => return self.start_engine(&body).await,
            "/behaviour" => self.behave(&body),
            "/signals" => self.signal(&body),
            "/state" => self.set_state(&body),
            "/remove" => self.remove(&body),
            "/restart" => self.restart(&body),
            "/entry" => self.write_entry(&body),
            "/crash" => self.crash(&body),
            "/down" => self.set_down(&body),
            "/store" => self.set_store(&body),
            "/forget" => self.forget(),
            "/rollout" => self.roll_out(&body),
            "/seen" => return self.seen(),
            _ => None,
        };
        empty(if done.is_some() { StatusCode::OK } else { StatusCode::BAD_REQUEST })
    }
}

impl Admin {
    /// Writes the configuration as the operator would.
    fn configure(&self, body: &Value) -> Option<()> {
        self.world.put("op", "config", Some(STANDARD.encode(body.to_string())));
        Some(())
    }

    /// Starts an upstream: `service`, `version`, `workMs`, `zone`, `spot`, and the `address` that its
    /// row names if callers reach it by another one.
    async fn start_engine(&self, body: &Value) -> Response<AnswerBody> {
        let id = format!("i-{}", self.world.state.borrow().engines.len() + 1);
        let Ok(listener) = process::open((process::own_ip(), 0).into()).await else {
            return empty(StatusCode::INTERNAL_SERVER_ERROR);
        };
        let Ok(address) = listener.local_addr() else {
            return empty(StatusCode::INTERNAL_SERVER_ERROR);
        };
        let text = |name: &str| body[name].as_str().unwrap_or_default();
        let spot = body["spot"].as_bool().unwrap_or_default();
        let named = text("address").parse().unwrap_or(address);
        let version = body["version"].as_str().unwrap_or("v1");
        let row = upstream_row(text("service"), version, text("zone"), spot, named);
        let engine = Engine {
            behaviour: Behaviour::Serve,
            work: Duration::from_millis(body["workMs"].as_u64().unwrap_or_default()),
            only_path: String::new(),
            signals: HeaderMap::new(),
            row: row.clone(),
            reading_until: Instant::now(),
            cache: HashSet::new(),
            starts: 1,
            address,
            process: Some(process::start(&self.world, &id, listener)),
        };
        self.world.state.borrow_mut().engines.insert(id.clone(), engine);
        self.world.put("servers", &id, Some(STANDARD.encode(row.to_string())));
        answer(StatusCode::OK, &json!({ "id": id, "address": address }))
    }

    /// Sets how an upstream, or all of them, answers: `id`, `behaviour`, and `path`, what the
    /// paths begin with of the requests that are meant.
    fn behave(&self, body: &Value) -> Option<()> {
        let behaviour: Behaviour = serde_json::from_value(body["behaviour"].clone()).ok()?;
        let path = body["path"].as_str().unwrap_or_default();
        let set = |engine: &mut Engine| {
            engine.behaviour = behaviour;
            engine.only_path = path.to_owned();
        };
        let mut state = self.world.state.borrow_mut();
        match body["id"].as_str() {
            Some(id) => set(state.engines.get_mut(id)?),
            None => state.engines.values_mut().for_each(set),
        }
        Some(())
    }

    /// Sets the headers that an upstream adds to all its answers: `id`, `headers` by name.
    fn signal(&self, body: &Value) -> Option<()> {
        let headers: HashMap<String, String> =
            serde_json::from_value(body["headers"].clone()).ok()?;
        let signals = HeaderMap::try_from(&headers).ok()?;
        self.world.state.borrow_mut().engines.get_mut(body["id"].as_str()?)?.signals = signals;
        Some(())
    }

    /// Writes an order to roll out a version as the operator would, or withdraws it:
    /// `service`, `order`. The upstreams follow what is written of it.
    fn roll_out(&self, body: &Value) -> Option<()> {
        let key = format!("rollout/{}", body["service"].as_str()?);
        let order = &body["order"];
        let value = (!order.is_null()).then(|| STANDARD.encode(order.to_string()));
        self.world.put("op", &key, value);
        if order.is_object() {
            spawn_local(rollout::follow(self.world.clone(), order.clone()));
        }
        Some(())
    }

    /// Sets an upstream's own state: `id`, `state`.
    fn set_state(&self, body: &Value) -> Option<()> {
        let id = body["id"].as_str()?;
        let row = {
            let mut state = self.world.state.borrow_mut();
            let engine = state.engines.get_mut(id)?;
            engine.row["state"] = body["state"].clone();
            engine.row.to_string()
        };
        self.world.put("servers", id, Some(STANDARD.encode(row)));
        Some(())
    }

    /// Removes an upstream's row; with `back` true it is written again.
    fn remove(&self, body: &Value) -> Option<()> {
        let id = body["id"].as_str()?;
        let row = self.world.state.borrow().engines.get(id)?.row.to_string();
        let back = body["back"].as_bool().unwrap_or_default();
        self.world.put("servers", id, back.then(|| STANDARD.encode(row)));
        Some(())
    }

    /// Starts an upstream again under its id. What it held and the requests that it
    /// ran are lost; connections to it stay open in silence, as behind a cut.
    /// `born` is when it started by its clock.
    fn restart(&self, body: &Value) -> Option<()> {
        let id = body["id"].as_str()?;
        let row = {
            let mut state = self.world.state.borrow_mut();
            let engine = state.engines.get_mut(id)?;
            engine.row["born"] = body["born"].clone();
            engine.row["sequence"] = json!(0);
            engine.behaviour = Behaviour::Serve;
            engine.reading_until = Instant::now();
            engine.cache.clear();
            engine.starts += 1;
            engine.row.to_string()
        };
        self.world.put("servers", id, Some(STANDARD.encode(row)));
        Some(())
    }

    /// Crashes an upstream; it starts again by itself: `id`.
    fn crash(&self, body: &Value) -> Option<()> {
        let id = body["id"].as_str()?;
        self.world.crashing.send(id.to_owned()).ok()
    }

    /// Sets for how long upstreams that crash are down: `ms`.
    fn set_down(&self, body: &Value) -> Option<()> {
        self.world.state.borrow_mut().down = Duration::from_millis(body["ms"].as_u64()?);
        Some(())
    }

    /// Writes a row as another writer would: `id`, `text`.
    fn write_entry(&self, body: &Value) -> Option<()> {
        let (id, text) = (body["id"].as_str()?, body["text"].as_str()?);
        self.world.put("servers", id, Some(STANDARD.encode(text)));
        Some(())
    }

    fn set_store(&self, body: &Value) -> Option<()> {
        let mode: StoreMode = serde_json::from_value(body["mode"].clone()).ok()?;
        let mut state = self.world.state.borrow_mut();
        state.store_mode = mode;
        state.silences += u64::from(mode == StoreMode::Silent);
        Some(())
    }

    /// Forgets the store's history.
    fn forget(&self) -> Option<()> {
        let mut state = self.world.state.borrow_mut();
        state.forgotten = state.version;
        state.history.clear();
        drop(state);
        self.world.changed.notify_waiters();
        Some(())
    }

    /// Returns what upstreams and the API have seen.
    fn seen(&self) -> Response<AnswerBody> {
        let state = self.world.state.borrow();
        let body = json!({
            "arrivals": state.arrivals,
            "runs": state.runs,
            "duties": state.duties,
            "store_calls": state.store_calls,
            "status": rollout::statuses(&state),
            "now_ms": self.world.now_ms(),
        });
        answer(StatusCode::OK, &body)
    }
}
