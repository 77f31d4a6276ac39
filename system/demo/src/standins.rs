//! Stand-ins for what is outside: the platform's list and the backends, as the protocol has them.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::time::sleep;

/// A backend as the platform lists it.
#[derive(Clone, Debug)]
pub struct Listed {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub state: &'static str,
}

/// What a backend saw of one request.
#[derive(Clone, Debug)]
pub struct Run {
    pub backend: String,
    pub zone: String,
    pub id: String,
    pub tenant: String,
    pub key: bool,
    pub bytes: usize,
    /// The last part of the path: what the client meant, however often it tried.
    pub item: String,
    /// When its last byte was there.
    pub at: Instant,
}

/// All that is outside.
#[derive(Default)]
pub struct Outside {
    pub listed: RefCell<Vec<Listed>>,
    pub runs: RefCell<Vec<Run>>,
    /// Calls for the list, at each place where it is to be had.
    pub list_calls: RefCell<BTreeMap<SocketAddr, usize>>,
}

impl Outside {
    /// How often requests of an id were run.
    pub fn ran(&self, id: &str) -> usize {
        self.runs.borrow().iter().filter(|run| run.id == id).count()
    }
    pub fn runs_of(&self, id: &str) -> Vec<Run> {
        self.runs.borrow().iter().filter(|run| run.id == id).cloned().collect()
    }
}

fn accept<F>(listener: TcpListener, serve: impl Fn(Request<Incoming>) -> F + 'static)
where
    F: Future<Output = Response<Full<Bytes>>> + 'static,
{
    let serve = Rc::new(serve);
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let serve = serve.clone();
            tokio::task::spawn_local(async move {
                let service = service_fn(move |request| {
                    let answer = serve(request);
                    async move { Ok::<_, Infallible>(answer.await) }
                });
                drop(http1::Builder::new().serve_connection(TokioIo::new(stream), service).await);
            });
        }
    });
}

/// The platform: two entries to a page.
pub async fn platform(outside: &Rc<Outside>, at: SocketAddr) -> std::io::Result<()> {
    let (listener, outside) = (TcpListener::bind(at).await?, outside.clone());
    accept(listener, move |request| {
        let outside = outside.clone();
        async move {
            *outside.list_calls.borrow_mut().entry(at).or_default() += 1;
            let query = request.uri().query().unwrap_or_default().to_owned();
            let from: usize = query.strip_prefix("pageToken=p-").and_then(|p| p.parse().ok()).unwrap_or(0);
            let listed = outside.listed.borrow();
            let entry = |l: &Listed| {
                format!(
                    r#"{{"id":"{}","service":"{}","address":"{}","zone":"{}","revision":"v1","capacitySlots":4,"state":"{}","coldRemaining":"0ms"}}"#,
                    l.id, l.service, l.address, l.zone, l.state
                )
            };
            let page: Vec<String> = listed.iter().skip(from).take(2).map(entry).collect();
            let next = from + 2;
            let next = if next < listed.len() { format!("\"p-{next}\"") } else { "null".into() };
            Response::new(Full::from(format!(
                r#"{{"instances":[{}],"nextPageToken":{next}}}"#,
                page.join(",")
            )))
        }
    });
    Ok(())
}

/// A backend: works as long as the path says (`/x/sleep-300` is 300 ms), refuses what is meant for another.
pub async fn backend(outside: &Rc<Outside>, listed: Listed) -> std::io::Result<()> {
    let listener = TcpListener::bind(listed.address).await?;
    outside.listed.borrow_mut().push(listed.clone());
    let (outside, me) = (outside.clone(), Rc::new(listed));
    accept(listener, move |request| work(outside.clone(), me.clone(), request));
    Ok(())
}

/// How long a path says that the work takes: `/x/sleep-300`, also before what is meant: `/x/sleep-300/reel-7`.
fn sleep_of(path: &str) -> Option<u64> {
    path.split('/').find_map(|part| part.strip_prefix("sleep-"))?.parse().ok()
}

async fn work(outside: Rc<Outside>, me: Rc<Listed>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let (head, body) = request.into_parts();
    let header =
        |name: &str| head.headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or_default().to_owned();
    let mut response = Response::new(Full::from("done\n"));
    let id = header("fennelscale-request-id");
    let headers: BTreeMap<&str, String> = BTreeMap::from([
        ("fennelscale-request-id", id.clone()),
        ("fennelscale-instance-id", me.id.clone()),
        ("fennelscale-tenant-name", header("fennelscale-tenant-name")),
    ]);
    for (name, value) in headers {
        if let Ok(value) = value.parse() {
            response.headers_mut().insert(name, value);
        }
    }
    if header("fennelscale-expected-instance") != me.id {
        *response.status_mut() = StatusCode::MISDIRECTED_REQUEST;
        return response;
    }
    let Ok(body) = body.collect().await else { return response };
    let bytes = body.to_bytes().len();
    let (tenant, key) = (header("fennelscale-tenant-name"), head.headers.contains_key("x-api-key"));
    let (backend, zone) = (me.id.clone(), me.zone.clone());
    let path = head.uri.path().to_owned();
    let item = path.rsplit('/').next().unwrap_or_default().to_owned();
    outside.runs.borrow_mut().push(Run { backend, zone, id, tenant, key, bytes, item, at: Instant::now() });
    if let Some(ms) = sleep_of(&path) {
        sleep(Duration::from_millis(ms)).await;
    }
    if path.ends_with("/fail") {
        *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
    }
    response.headers_mut().insert("fennelscale-response-signature", HeaderValue::from_static("sig"));
    response
}
