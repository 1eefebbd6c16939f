//! A modelled engine.

use std::collections::VecDeque;

/// How engines of a service are.
#[derive(Clone, Copy, Debug)]
pub struct EngineTruth {
    /// Prompt tokens read in a second.
    pub reads: f64,
    /// Seconds of a step, in which each running request gets a token.
    pub step: f64,
    /// Seconds that each running request adds to a step.
    pub step_per_running: f64,
    /// Seconds until the first token of an empty prompt.
    pub base: f64,
    /// Requests that run at once.
    pub slots: u32,
}

/// Share of its usual pace at which an engine produces tokens while it reads.
const PACE_WHILE_READING: f64 = 0.4;

/// A request at an engine.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// When it came to the system.
    pub arrived: f64,
    /// When it was sent to this engine.
    pub sent: f64,
    /// Tokens to be read and requests running there when it was sent.
    pub expected: (f64, f64),
    /// Tokens of the prompt.
    pub prompt: f64,
    /// Those that are not read yet.
    pub unread: f64,
    /// Tokens that are still to be produced.
    pub answer: f64,
    /// When the first token came.
    pub first: Option<f64>,
}

/// A modelled engine.
#[derive(Debug)]
pub struct Engine {
    /// Data centre.
    pub place: usize,
    /// Whether it is reclaimable.
    pub reclaimable: bool,
    /// When it serves.
    pub ready: f64,
    /// When it goes.
    pub leaves: Option<f64>,
    /// How many times as long it works.
    slowness: f64,
    waiting: VecDeque<Job>,
    running: Vec<Job>,
}

impl Engine {
    /// Creates an engine that serves from `ready`.
    pub fn new(place: usize, reclaimable: bool, ready: f64) -> Self {
        let (waiting, running) = (VecDeque::new(), Vec::new());
        Self { place, reclaimable, ready, leaves: None, slowness: 1.0, waiting, running }
    }

    /// Lets it work so many times as long.
    pub fn slowed(self, slowness: f64) -> Self {
        Self { slowness, ..self }
    }

    /// Returns whether it takes requests.
    pub fn serves(&self, now: f64) -> bool {
        self.ready <= now && self.leaves.is_none()
    }

    /// Announces that it goes.
    pub fn leave_at(&mut self, at: f64) {
        self.leaves.get_or_insert(at);
    }

    /// Takes a request.
    pub fn take(&mut self, job: Job) {
        self.waiting.push_back(job);
    }

    /// Returns the requests there.
    pub fn jobs(&self) -> usize {
        self.waiting.len() + self.running.len()
    }

    /// Returns the prompt tokens that are not read yet.
    pub fn unread(&self) -> f64 {
        self.waiting.iter().map(|j| j.unread).sum()
    }

    /// Returns what it leaves undone.
    pub fn take_jobs(&mut self) -> Vec<Job> {
        self.running.drain(..).chain(self.waiting.drain(..)).collect()
    }

    /// Works for `span` seconds and returns what ended.
    pub fn run(&mut self, truth: &EngineTruth, now: f64, span: f64) -> Vec<Job> {
        let span = span / self.slowness;
        let mut budget = truth.reads * span;
        let reading = !self.waiting.is_empty();
        while budget > 0.0 && self.running.len() < truth.slots as usize {
            let Some(job) = self.waiting.front_mut() else {
                break;
            };
            let read = job.unread.min(budget);
            job.unread -= read;
            budget -= read;
            if job.unread > 0.0 {
                break;
            }
            let mut job = self.waiting.pop_front().expect("it was there");
            job.first.get_or_insert(now + truth.base);
            self.running.push(job);
        }
        let pace = if reading { PACE_WHILE_READING } else { 1.0 };
        let step = truth.step + truth.step_per_running * self.running.len() as f64;
        let tokens = span / step * pace;
        self.running.iter_mut().for_each(|j| j.answer -= tokens);
        let (ended, running) = self.running.drain(..).partition(|j| j.answer <= 0.0);
        self.running = running;
        ended
    }
}
