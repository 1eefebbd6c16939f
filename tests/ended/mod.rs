//! An upstream that has ended while its host still accepts connections, as a kernel does for a process
//! that was killed.

use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use socket2::SockRef;

use super::support::http::{ReceivedRequest, read_request};

/// Time for which a connection is left open without an answer; longer than any caller waits.
const SILENCE: Duration = Duration::from_secs(60);
/// Time that a slow health check takes.
const SLOW_CHECK: Duration = Duration::from_millis(100);
/// Time after the start of a stream at which it ends; each later stream ends as much after the one
/// before it.
const STREAM_TIME: Duration = Duration::from_millis(50);

/// What becomes of connections after the first stream has ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AfterEnd {
    /// They are accepted, and nothing follows.
    #[default]
    Silence,
    /// They are accepted and reset.
    Reset,
    /// They are accepted and closed.
    Close,
    /// Another upstream answers.
    Other,
    /// It has not ended, and answers.
    Answer,
    /// It answers the first one slowly and ends meanwhile; later ones are reset.
    SlowAnswerThenReset,
}

/// A stand-in for an upstream whose streams have neither a length nor chunks and end between events.
pub struct EndedUpstream {
    pub address: SocketAddr,
    id: Arc<Mutex<String>>,
}

impl EndedUpstream {
    pub fn start(after: AfterEnd) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let id = Arc::new(Mutex::new(String::new()));
        let server = Server { after, id: id.clone(), ..Server::default() };
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(&stream));
            }
        });
        Self { address, id }
    }

    /// Sets the id that its row bears.
    pub fn set_id(&self, id: &str) {
        id.clone_into(&mut self.id.lock().expect("a lock"));
    }
}

#[derive(Clone, Default)]
struct Server {
    after: AfterEnd,
    id: Arc<Mutex<String>>,
    streams: Arc<AtomicUsize>,
    ended: Arc<AtomicUsize>,
    checks: Arc<AtomicUsize>,
}

impl Server {
    fn serve(&self, stream: &TcpStream) {
        if self.ended.load(Ordering::Relaxed) > 0 {
            match self.after {
                AfterEnd::Silence => return thread::sleep(SILENCE),
                AfterEnd::Close => return,
                AfterEnd::Reset => return reset(stream),
                AfterEnd::Other | AfterEnd::Answer | AfterEnd::SlowAnswerThenReset => {}
            }
        }
        let mut reader = BufReader::new(stream);
        while let Some(ReceivedRequest { first_line, id, .. }) = read_request(&mut reader) {
            if first_line.starts_with("GET /healthz ") {
                if !self.answer_check(stream) {
                    return reset(stream);
                }
                continue;
            }
            let number = self.streams.fetch_add(1, Ordering::Relaxed);
            let head = format!(
                "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-request-id: {id}\r\n\
                 x-response-seal: s\r\nconnection: close\r\n\r\nid: 1\ndata: token 1\n\n"
            );
            let mut writer = stream;
            if writer.write_all(head.as_bytes()).is_ok() {
                thread::sleep(STREAM_TIME * (number as u32 + 1));
                self.ended.fetch_add(1, Ordering::Relaxed);
            }
            return;
        }
    }

    /// Answers a health check; returns whether it could.
    fn answer_check(&self, mut stream: &TcpStream) -> bool {
        let own = self.id.lock().expect("a lock").clone();
        let number = self.checks.fetch_add(1, Ordering::Relaxed);
        let id = match self.after {
            AfterEnd::Other => "another",
            AfterEnd::SlowAnswerThenReset if number > 0 => return false,
            AfterEnd::SlowAnswerThenReset => {
                thread::sleep(SLOW_CHECK);
                &own
            }
            _ => &own,
        };
        let text = format!("HTTP/1.1 200 OK\r\nx-instance-id: {id}\r\ncontent-length: 0\r\n\r\n");
        stream.write_all(text.as_bytes()).is_ok()
    }
}

fn reset(stream: &TcpStream) {
    SockRef::from(stream).set_linger(Some(Duration::ZERO)).expect("an option");
}
