//! Following a model's answer across hand-overs and cut connections.

use std::{
    io::Read,
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use super::{
    Answer, Caller, CallerError, Verdict,
    client::{PAUSE, problem},
};
use crate::{
    edge::{
        http_client::{HttpError, HttpStream},
        sse::SseReader,
    },
    routing::Class,
};

/// A request to a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChatAsk {
    /// Model.
    pub model: String,
    /// Prompt.
    pub prompt: String,
    /// Tokens to generate at most.
    pub max_tokens: u32,
    /// Class.
    pub class: Class,
    /// Whether it may run twice.
    pub repeatable: bool,
}

impl ChatAsk {
    fn body(&self) -> String {
        json!({
            "model": self.model,
            "messages": [{ "role": "user", "content": self.prompt }],
            "max_tokens": self.max_tokens,
            "class": self.class,
            "repeatable": self.repeatable,
            "stream": true,
        })
        .to_string()
    }
}

/// What became of one connection.
enum Step {
    /// There is a verdict.
    Verdict(Verdict, Option<Duration>),
    /// The answer goes on at this address.
    Follow(String),
    /// The connection broke; the answer goes on where the request's home is.
    Rejoin,
    /// The request is not known any more: begin anew if it may run twice.
    Lost,
}

/// An answer that is being put together.
struct Following<'a> {
    caller: &'a Caller,
    ask: &'a ChatAsk,
    answer: Answer,
    began: Instant,
    last_token: Option<Instant>,
}

impl Caller {
    /// Asks a model and follows the answer to its end. A request that may run
    /// twice begins anew where it was lost.
    pub fn chat(&self, ask: &ChatAsk, key: &str) -> Result<Answer, CallerError> {
        let answer = Answer::new(Verdict::Unknown);
        let mut following =
            Following { caller: self, ask, answer, began: Instant::now(), last_token: None };
        let until = Instant::now() + self.patience;
        let mut key = key.to_owned();
        let mut step = Step::Lost;
        loop {
            step = match step {
                Step::Verdict(verdict, retry_after) => {
                    following.answer.verdict = verdict;
                    following.answer.retry_after = retry_after;
                    return Ok(following.answer);
                }
                _ if Instant::now() >= until => return Err(CallerError::NoEntry),
                Step::Follow(url) => following.get(&url)?,
                Step::Rejoin if following.answer.request_id.is_empty() => following.post(&key)?,
                Step::Rejoin => following.rejoin()?,
                Step::Lost if following.answer.request_id.is_empty() => following.post(&key)?,
                Step::Lost if ask.repeatable => {
                    following.reset();
                    key = self.new_key().unwrap_or(key);
                    Step::Rejoin
                }
                Step::Lost => Step::Verdict(Verdict::Unknown, None),
            };
        }
    }
}

impl Following<'_> {
    /// Forgets what came so far.
    fn reset(&mut self) {
        self.answer.restarts += 1;
        self.answer.request_id.clear();
        self.answer.text.clear();
        self.answer.tokens = 0;
    }

    /// Sends the request to the entry hosts in turn, under the same key.
    fn post(&mut self, key: &str) -> Result<Step, CallerError> {
        for entry in self.caller.entries_for(key) {
            self.answer.connections += 1;
            let url = format!("{}/v1/chat/completions", entry.url);
            if let Ok(stream) = self.caller.post(&url, key, &self.ask.body()) {
                return self.take(stream);
            }
        }
        self.pause();
        Ok(Step::Rejoin)
    }

    /// Asks the entry hosts in turn for the rest of the answer.
    fn rejoin(&mut self) -> Result<Step, CallerError> {
        for entry in self.caller.entries() {
            let url = format!("{}/v1/requests/{}", entry.url, self.answer.request_id);
            match self.get(&url)? {
                Step::Rejoin => {}
                other => return Ok(other),
            }
        }
        self.pause();
        Ok(Step::Rejoin)
    }

    fn pause(&self) {
        thread::sleep(PAUSE);
        self.caller.forget_entries();
    }

    fn get(&mut self, url: &str) -> Result<Step, CallerError> {
        self.answer.connections += 1;
        let authorization = format!("Bearer {}", self.caller.api_key);
        let last = self.answer.tokens.checked_sub(1).map(|n| n.to_string());
        let mut headers = vec![("authorization", authorization.as_str())];
        headers.extend(last.as_deref().map(|id| ("last-event-id", id)));
        match self.caller.http.stream("GET", url, &headers, b"") {
            Ok(stream) => self.take(stream),
            Err(HttpError::NotSent(_) | HttpError::Broken(_)) => Ok(Step::Rejoin),
        }
    }

    fn take(&mut self, mut stream: HttpStream) -> Result<Step, CallerError> {
        if let Some(id) = stream.header("x-request-id") {
            id.clone_into(&mut self.answer.request_id);
        }
        if stream.status == 200 {
            return Ok(self.read(SseReader::new(stream.reader)));
        }
        let mut body = String::new();
        if stream.reader.read_to_string(&mut body).is_err() {
            return Ok(Step::Rejoin);
        }
        if stream.status == 307 {
            let location = stream.headers.iter().find(|(n, _)| n == "location");
            return Ok(location.map_or(Step::Rejoin, |(_, url)| Step::Follow(url.clone())));
        }
        if stream.status == 404 && !self.answer.request_id.is_empty() {
            return Ok(Step::Lost);
        }
        let Some(answer) = problem(stream.status, &body)? else {
            self.pause();
            return Ok(Step::Rejoin);
        };
        let unknown = answer.verdict == Verdict::Unknown;
        if unknown && self.ask.repeatable && !self.answer.request_id.is_empty() {
            return Ok(Step::Lost);
        }
        Ok(Step::Verdict(answer.verdict, answer.retry_after))
    }

    fn read(&mut self, mut events: SseReader<Box<dyn Read + Send>>) -> Step {
        loop {
            let Ok(Some(event)) = events.next_event() else {
                return Step::Rejoin;
            };
            let data: Value = serde_json::from_str(&event.data).unwrap_or_default();
            match event.name.as_deref() {
                Some("moved") => {
                    let url = data.get("url").and_then(Value::as_str);
                    return url.map_or(Step::Rejoin, |url| Step::Follow(url.to_owned()));
                }
                Some("error") => return Step::Lost,
                Some(_) | None => {}
            }
            if event.data == "[DONE]" {
                return Step::Verdict(Verdict::Completed, None);
            }
            self.take_token(event.id.as_deref(), &data);
        }
    }

    /// Takes a token that follows what came so far; others are passed over.
    fn take_token(&mut self, id: Option<&str>, data: &Value) {
        let token = data.pointer("/choices/0/delta/content").and_then(Value::as_str);
        let (Some(token), Some(offset)) = (token, id.and_then(|id| id.parse::<usize>().ok()))
        else {
            return;
        };
        if offset != self.answer.tokens {
            return;
        }
        let now = Instant::now();
        match self.last_token {
            Some(at) => self.answer.gaps.push(now.duration_since(at)),
            None => self.answer.first_token = Some(now.duration_since(self.began)),
        }
        self.last_token = Some(now);
        self.answer.text.push_str(token);
        self.answer.tokens += 1;
    }
}
