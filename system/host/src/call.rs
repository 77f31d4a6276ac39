//! The HTTP API: each call and its answer are a pair of types. One generic function parses the call, runs its
//! handler and writes the response.

use crate::answer_deadline::AnswerDeadline;
use crate::error::{Failure, Kind};
use crate::spawn;
use bytes::Bytes;
use fennelscale_memory::buffer::charge;
use fennelscale_memory::ledger::{MemoryLedger, PoolSizes};
use fennelscale_memory::read::{ReadError, read_or_refuse};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{ALLOW, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::time::timeout;

/// The largest request body. 10,000 routes fit.
const MAX_BODY: usize = 8 << 20;
/// Concurrent client connections; further ones wait in the kernel's accept queue.
const MAX_CONNECTIONS: usize = 200;
/// Size of a connection's read buffer, which holds the head of a request. The configuration allows 16 KiB to clients.
const READ_BUFFER_SIZE: usize = 24 * 1024;
/// Time limit for reading a whole request.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Time limit for the caller to take an answer, once it does not fit into the connection's buffers.
const TAKE_TIMEOUT: Duration = Duration::from_secs(30);
/// Shares of the memory limit of a program without clients, for what it holds for callers: short calls and answers,
/// and long ones. A call of the largest size fits.
const SMALL_POOL_SHARE: f64 = 0.05;
const LARGE_POOL_SHARE: f64 = 0.15;
/// Time limit for handling a call.
const SERVE_TIMEOUT: Duration = Duration::from_secs(20);

/// A request as received.
pub struct ApiRequest {
    /// The method.
    pub method: Method,
    /// The path.
    pub path: String,
    /// The query string; empty if there is none.
    pub query: String,
    /// The body.
    pub body: Bytes,
}

impl ApiRequest {
    /// A query parameter, percent-decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let mut pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| percent_decode(value))
    }
}

/// Percent-decodes a text; invalid escapes are kept as they are.
fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::with_capacity(bytes.len()), 0);
    while at < bytes.len() {
        let hex = bytes.get(at + 1..at + 3).and_then(|h| std::str::from_utf8(h).ok());
        match hex.and_then(|h| u8::from_str_radix(h, 16).ok()).filter(|_| bytes[at] == b'%') {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(if bytes[at] == b'+' { b' ' } else { bytes[at] });
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// A type of API call.
pub trait Call: Sized {
    /// The type of its answer.
    type Answer: Answer;
    /// Methods and path, as written in the documentation.
    const PATTERN: &'static str;
    /// Parses the request; `None` if its method or path belongs to another type of call.
    fn read(request: &ApiRequest) -> Option<Result<Self, Failure>>;
}

/// The answer to a call.
pub trait Answer {
    /// The JSON body, if there is one.
    fn body(self) -> Option<String>;
}

/// Success without a body.
pub struct Done;

impl Answer for Done {
    fn body(self) -> Option<String> {
        None
    }
}

/// A JSON text.
pub struct Json(pub String);

impl Answer for Json {
    fn body(self) -> Option<String> {
        Some(self.0)
    }
}

/// Handles a type of call.
pub trait Handler<C: Call> {
    /// Handles the call.
    fn serve(&self, call: C) -> impl Future<Output = Result<C::Answer, Failure>>;
}

/// Parses a call of type `C`, runs its handler and builds the response. `None` if the request is another type
/// of call.
pub async fn handle<C: Call, S: Handler<C>>(
    server: &S, request: &ApiRequest,
) -> Option<Response<Full<Bytes>>> {
    let answer = match C::read(request)? {
        Ok(call) => match timeout(SERVE_TIMEOUT, server.serve(call)).await {
            Ok(answer) => answer,
            Err(_) => Err(Failure::new(Kind::OutcomeUnknown, "no answer in time")),
        },
        Err(failure) => Err(failure),
    };
    Some(match answer {
        Ok(answer) => {
            let body = answer.body();
            let mut response = Response::new(Full::from(body.unwrap_or_else(|| "{}".into())));
            response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
            response
        }
        Err(failure) => {
            if failure.kind != Kind::Overloaded {
                tracing::info!(
                    event = "call-failed",
                    call = C::PATTERN,
                    kind = failure.kind.description().1,
                    text = failure.text
                );
            }
            let mut response = error_response(&failure);
            // Lets the caller record the failure in the event feed.
            response.extensions_mut().insert(failure);
            response
        }
    })
}

/// The response to a failed call.
pub fn error_response(failure: &Failure) -> Response<Full<Bytes>> {
    let (status, name, help) = failure.kind.description();
    let text =
        |text: &str| text.replace('\\', "\\\\").replace('"', "\\\"").replace(|c: char| c.is_control(), " ");
    let body =
        format!("{{\"error\":\"{name}\",\"message\":\"{}\",\"help\":\"{help}\"}}", text(&failure.text));
    let mut response = Response::new(Full::from(body));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if status == StatusCode::METHOD_NOT_ALLOWED
        && let Ok(methods) = HeaderValue::from_str(&failure.text)
    {
        response.headers_mut().insert(ALLOW, methods);
    }
    if status == StatusCode::SERVICE_UNAVAILABLE {
        response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("0.3"));
    }
    response
}

/// The ledger of a program that has callers, but no clients; its memory limit is in bytes.
pub fn memory_for_callers(memory_limit: u64) -> Arc<MemoryLedger> {
    let share = |share: f64| (memory_limit as f64 * share) as usize;
    MemoryLedger::new(PoolSizes {
        small: share(SMALL_POOL_SHARE),
        large: share(LARGE_POOL_SHARE).max(MAX_BODY),
    })
}

/// Serves requests on a listener until the program ends. `serve` returns `None` for calls that it does not
/// know. Calls and answers are charged to `memory`.
pub fn listen<F>(listener: TcpListener, memory: Arc<MemoryLedger>, serve: impl Fn(ApiRequest) -> F + 'static)
where
    F: Future<Output = Option<Response<Full<Bytes>>>> + 'static,
{
    let server = Rc::new(Server { serve, memory });
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    spawn(async move {
        loop {
            let Ok(permit) = permits.clone().acquire_owned().await else { return };
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            };
            let _ = stream.set_nodelay(true);
            let server = server.clone();
            spawn(async move {
                let service = service_fn(move |request| {
                    let server = server.clone();
                    async move { Ok::<_, Infallible>(server.answer(request).await) }
                });
                // The read timeout frees the permit of an idle client.
                let connection = http1::Builder::new()
                    .timer(TokioTimer::new())
                    .header_read_timeout(READ_TIMEOUT)
                    .max_buf_size(READ_BUFFER_SIZE)
                    .serve_connection(TokioIo::new(AnswerDeadline::new(stream, TAKE_TIMEOUT)), service);
                let _ = connection.await;
                drop(permit);
            });
        }
    });
}

/// Serves the requests of a listener.
struct Server<S> {
    serve: S,
    memory: Arc<MemoryLedger>,
}

impl<S, F> Server<S>
where
    S: Fn(ApiRequest) -> F,
    F: Future<Output = Option<Response<Full<Bytes>>>>,
{
    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let (head, body) = request.into_parts();
        let body = match timeout(READ_TIMEOUT, read_or_refuse(body, MAX_BODY, &self.memory)).await {
            Ok(Ok(body)) => body,
            Ok(Err(ReadError::TooLong)) => {
                return error_response(&Failure::new(Kind::TooLarge, format!("at most {MAX_BODY} bytes")));
            }
            Ok(Err(ReadError::NoMemory(_))) => return no_memory(),
            Ok(Err(ReadError::Broken(_))) | Err(_) => {
                return error_response(&Failure::new(Kind::Malformed, "the body ended early"));
            }
        };
        let path = head.uri.path().to_owned();
        let query = head.uri.query().unwrap_or_default().to_owned();
        let request = ApiRequest { method: head.method, path, query, body };
        match (self.serve)(request).await {
            Some(response) => self.charge(response).await,
            None => error_response(&Failure::new(Kind::NotFound, "there is no such call here")),
        }
    }

    /// Charges an answer until its caller has taken it. The answers to calls that change something, and failures, are
    /// short enough to be free, so that no call is refused after it was handled.
    async fn charge(&self, response: Response<Full<Bytes>>) -> Response<Full<Bytes>> {
        let (head, body) = response.into_parts();
        let Ok(body) = body.collect().await;
        match charge(body.to_bytes(), &self.memory) {
            Ok(body) => Response::from_parts(head, Full::new(body)),
            Err(_) => no_memory(),
        }
    }
}

/// The answer to a call for which there is no memory now.
fn no_memory() -> Response<Full<Bytes>> {
    error_response(&Failure::new(Kind::Overloaded, "other callers hold the memory for calls"))
}

#[cfg(test)]
mod tests {
    use super::*;
    use fennelscale_memory::ledger::FREE_SIZE;
    use hyper::body::Body;

    /// Guards against a refusal of a call that has been handled: its answer could find no memory.
    #[test]
    fn the_longest_failure_needs_no_memory_of_the_ledger() {
        let failure = Failure::new(Kind::OutcomeUnknown, "\"".repeat(MAX_BODY));
        let length = error_response(&failure).body().size_hint().exact();
        assert!(length.is_some_and(|length| length <= FREE_SIZE as u64), "{length:?}");
    }

    #[test]
    fn query_parameters_are_percent_decoded() {
        let query = "name=a%2Eexample&zone=x+y&bad=%zz".to_owned();
        let request = ApiRequest { method: Method::GET, path: "/".into(), query, body: Bytes::new() };
        assert_eq!(request.query("name").as_deref(), Some("a.example"));
        assert_eq!(request.query("zone").as_deref(), Some("x y"));
        assert_eq!(request.query("bad").as_deref(), Some("%zz"));
        assert_eq!(request.query("none"), None);
    }
}
