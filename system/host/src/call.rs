//! Calls from outside: each call and its answer are a pair of types, and one generic handler reads the one, has it served and
//! writes the other.

use crate::error::{Failure, Kind};
use crate::spawn;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
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

/// The longest body of a call. Ten thousand routes fit.
const LONGEST: usize = 8 << 20;
/// Connections of callers that are open at once; more wait in the machine's line.
const MOST: usize = 200;
/// A call must be read whole within this, and its answer begun within the other.
const READ: Duration = Duration::from_secs(10);
const SERVE: Duration = Duration::from_secs(20);

/// A call as it came.
pub struct Asked {
    /// Its method.
    pub method: Method,
    /// Its path.
    pub path: String,
    /// Its query; empty without one.
    pub query: String,
    /// Its body.
    pub body: Bytes,
}

impl Asked {
    /// A value of the query, with its percent signs resolved.
    pub fn query(&self, name: &str) -> Option<String> {
        let mut pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| plain(value))
    }
}

/// Percent signs resolved; one that is none stays.
fn plain(text: &str) -> String {
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

/// A kind of call.
pub trait Call: Sized {
    /// What answers it.
    type Answer: Answer;
    /// Methods and path, as documents write it.
    const FORM: &'static str;
    /// Reads it; none if the call is of another kind, by method or path.
    fn read(asked: &Asked) -> Option<Result<Self, Failure>>;
}

/// What answers a call.
pub trait Answer {
    /// The body, where there is one: JSON.
    fn body(self) -> Option<String>;
}

/// Nothing but that it is done.
pub struct Done;

impl Answer for Done {
    fn body(self) -> Option<String> {
        None
    }
}

/// A text of JSON.
pub struct Json(pub String);

impl Answer for Json {
    fn body(self) -> Option<String> {
        Some(self.0)
    }
}

/// Who serves a kind of call.
pub trait Serves<C: Call> {
    /// Serves it.
    fn serve(&self, call: C) -> impl Future<Output = Result<C::Answer, Failure>>;
}

/// The one handler: reads a call of a kind, has it served, writes the answer. None if the call is of another kind.
pub async fn handle<C: Call, S: Serves<C>>(server: &S, asked: &Asked) -> Option<Response<Full<Bytes>>> {
    let answer = match C::read(asked)? {
        Ok(call) => match timeout(SERVE, server.serve(call)).await {
            Ok(answer) => answer,
            Err(_) => Err(Failure::new(Kind::Unclear, "no answer in time")),
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
            if failure.kind != Kind::NoRoom {
                tracing::info!(
                    event = "call-failed",
                    call = C::FORM,
                    kind = failure.kind.row().1,
                    text = failure.text
                );
            }
            let mut response = failed(&failure);
            // For whoever tells others of it.
            response.extensions_mut().insert(failure);
            response
        }
    })
}

/// The answer to a call without success.
pub fn failed(failure: &Failure) -> Response<Full<Bytes>> {
    let (status, name, help) = failure.kind.row();
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

/// Serves calls on a listener for as long as the program runs. `serve` answers what it knows.
pub fn listen<F>(listener: TcpListener, serve: impl Fn(Asked) -> F + 'static)
where
    F: Future<Output = Option<Response<Full<Bytes>>>> + 'static,
{
    let (serve, room) = (Rc::new(serve), Arc::new(Semaphore::new(MOST)));
    spawn(async move {
        loop {
            let Ok(place) = room.clone().acquire_owned().await else { return };
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            };
            let _ = stream.set_nodelay(true);
            let serve = serve.clone();
            spawn(async move {
                let service = service_fn(move |request| {
                    let serve = serve.clone();
                    async move { Ok::<_, Infallible>(answer(request, &*serve).await) }
                });
                // A caller that says nothing gives its place back in time.
                let connection = http1::Builder::new()
                    .timer(TokioTimer::new())
                    .header_read_timeout(READ)
                    .max_buf_size(64 * 1024)
                    .serve_connection(TokioIo::new(stream), service);
                let _ = connection.await;
                drop(place);
            });
        }
    });
}

async fn answer<F>(request: Request<Incoming>, serve: &impl Fn(Asked) -> F) -> Response<Full<Bytes>>
where
    F: Future<Output = Option<Response<Full<Bytes>>>>,
{
    let (head, body) = request.into_parts();
    let body = match timeout(READ, Limited::new(body, LONGEST).collect()).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            return failed(&Failure::new(Kind::TooLarge, format!("at most {LONGEST} bytes")));
        }
        _ => return failed(&Failure::new(Kind::Malformed, "the body ended early")),
    };
    let path = head.uri.path().to_owned();
    let query = head.uri.query().unwrap_or_default().to_owned();
    let asked = Asked { method: head.method, path, query, body };
    match serve(asked).await {
        Some(response) => response,
        None => failed(&Failure::new(Kind::NotFound, "there is no such call here")),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_query_is_read_with_its_percent_signs() {
        let query = "name=a%2Eexample&zone=x+y&bad=%zz".to_owned();
        let asked = Asked { method: Method::GET, path: "/".into(), query, body: Bytes::new() };
        assert_eq!(asked.query("name").as_deref(), Some("a.example"));
        assert_eq!(asked.query("zone").as_deref(), Some("x y"));
        assert_eq!(asked.query("bad").as_deref(), Some("%zz"));
        assert_eq!(asked.query("none"), None);
    }
}
