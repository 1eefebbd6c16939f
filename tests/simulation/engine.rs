//! Model of an engine.

use std::collections::VecDeque;

/// Properties of a service's engines.
#[derive(Clone, Copy, Debug)]
pub struct EngineProperties {
    /// Prompt tokens read per second.
    pub read_rate: f64,
    /// Duration of a decoding step, in seconds; each running request gets one token per step.
    pub step: f64,
    /// Time that each running request adds to a step, in seconds.
    pub step_per_running: f64,
    /// Time to the first token of an empty prompt, in seconds.
    pub base: f64,
    /// Number of requests that run at once.
    pub slots: u32,
}

/// Relative speed at which an engine produces tokens while it reads prompts.
const SPEED_WHILE_READING: f64 = 0.4;

/// A request at an engine.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// When the request arrived, in seconds of virtual time.
    pub arrived: f64,
    /// When the request was sent to this engine.
    pub sent: f64,
    /// Unread prompt tokens and running requests at the engine when the request was sent, as
    /// the gateway saw them.
    pub load_when_sent: (f64, f64),
    /// Length of the prompt, in tokens.
    pub prompt_tokens: f64,
    /// Prompt tokens that the engine has not read yet.
    pub unread_tokens: f64,
    /// Answer tokens that remain to be produced.
    pub answer_tokens: f64,
    /// When the first token was produced.
    pub first_token_at: Option<f64>,
}

/// A modelled engine.
#[derive(Debug)]
pub struct Engine {
    /// Index of the data centre.
    pub data_centre: usize,
    /// Whether the engine is reclaimable.
    pub reclaimable: bool,
    /// When the engine begins to serve, in seconds of virtual time.
    pub serves_from: f64,
    /// When the engine ends.
    pub ends_at: Option<f64>,
    /// Factor by which the engine is slower than others.
    slowdown: f64,
    waiting: VecDeque<Request>,
    running: Vec<Request>,
}

impl Engine {
    /// Creates an engine that serves from `ready`.
    pub fn new(data_centre: usize, reclaimable: bool, serves_from: f64) -> Self {
        let (waiting, running) = (VecDeque::new(), Vec::new());
        Self {
            data_centre,
            reclaimable,
            serves_from,
            ends_at: None,
            slowdown: 1.0,
            waiting,
            running,
        }
    }

    /// Makes the engine slower by a factor.
    pub fn slowed(self, slowdown: f64) -> Self {
        Self { slowdown, ..self }
    }

    /// Returns whether the engine accepts requests.
    pub fn serves(&self, now: f64) -> bool {
        self.serves_from <= now && self.ends_at.is_none()
    }

    /// Announces when the engine ends.
    pub fn end_at(&mut self, at: f64) {
        self.ends_at.get_or_insert(at);
    }

    /// Accepts a request.
    pub fn accept(&mut self, request: Request) {
        self.waiting.push_back(request);
    }

    /// Returns the number of requests at the engine.
    pub fn request_count(&self) -> usize {
        self.waiting.len() + self.running.len()
    }

    /// Returns the prompt tokens that are not read yet.
    pub fn unread_tokens(&self) -> f64 {
        self.waiting.iter().map(|j| j.unread_tokens).sum()
    }

    /// Removes and returns the unfinished requests.
    pub fn take_requests(&mut self) -> Vec<Request> {
        self.running.drain(..).chain(self.waiting.drain(..)).collect()
    }

    /// Runs the engine for `span` seconds and returns the requests that ended.
    pub fn run(&mut self, properties: &EngineProperties, now: f64, span: f64) -> Vec<Request> {
        let span = span / self.slowdown;
        let mut budget = properties.read_rate * span;
        let reading = !self.waiting.is_empty();
        while budget > 0.0 && self.running.len() < properties.slots as usize {
            let Some(request) = self.waiting.front_mut() else {
                break;
            };
            let read = request.unread_tokens.min(budget);
            request.unread_tokens -= read;
            budget -= read;
            if request.unread_tokens > 0.0 {
                break;
            }
            let mut request = self.waiting.pop_front().expect("the queue is not empty");
            request.first_token_at.get_or_insert(now + properties.base);
            self.running.push(request);
        }
        let relative_speed = if reading { SPEED_WHILE_READING } else { 1.0 };
        let step = properties.step + properties.step_per_running * self.running.len() as f64;
        let tokens = span / step * relative_speed;
        self.running.iter_mut().for_each(|j| j.answer_tokens -= tokens);
        let (finished, running) = self.running.drain(..).partition(|j| j.answer_tokens <= 0.0);
        self.running = running;
        finished
    }
}
