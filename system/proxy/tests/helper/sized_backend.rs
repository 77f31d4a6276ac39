//! A backend that reads whole bodies and gives answers of the size that the path names.

use super::{BACKEND_PORT, Backend, FIRST_BACKEND, SERVICE, TestBed, ZONE, listed_at};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::convert::Infallible;
use std::future::pending;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

/// Requests whose path has this part are answered with so many bytes as its last part says.
pub const SIZED: &str = "/sized/";
/// Requests below this path are never answered.
pub const SILENT: &str = "/silent/";
/// How many requests the backend takes at once.
const SLOTS: u32 = 400;
const ID: &str = "sized";

/// A started backend.
pub struct SizedBackend {
    /// Its entry of the list.
    pub entry: Backend,
    /// Number of requests received whose path has [`SIZED`].
    pub sized_requests: Rc<Cell<usize>>,
}

/// Starts the backend.
pub async fn start(test_bed: &TestBed) -> SizedBackend {
    let address = test_bed.at(FIRST_BACKEND, BACKEND_PORT);
    let listener = TcpListener::bind(address).await.expect("an address for a backend");
    let sized_requests = Rc::<Cell<usize>>::default();
    let counter = sized_requests.clone();
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let counter = counter.clone();
            spawn_local(async move {
                let service = service_fn(|request: Request<Incoming>| async {
                    if sized(request.uri().path()).is_some() {
                        counter.set(counter.get() + 1);
                    }
                    Ok::<_, Infallible>(serve(request).await)
                });
                drop(http1::Builder::new().serve_connection(TokioIo::new(stream), service).await);
            });
        }
    });
    let entry = Backend { slots: SLOTS, ..listed_at(SERVICE, ID, address, ZONE, 0) };
    SizedBackend { entry, sized_requests }
}

/// The size that a path names, which may stand behind the prefix of a route.
fn sized(path: &str) -> Option<usize> {
    path.split_once(SIZED).map(|(_, size)| size.parse().expect("a size"))
}

async fn serve(request: Request<Incoming>) -> Response<Full<Bytes>> {
    let (head, mut body) = request.into_parts();
    let mut received = 0;
    while let Some(Ok(frame)) = body.frame().await {
        received += frame.data_ref().map_or(0, Bytes::len);
    }
    if head.uri.path().starts_with(SILENT) {
        pending::<()>().await;
    }
    let size = sized(head.uri.path());
    let body = size.map_or_else(|| format!("{received}").into_bytes(), |size| vec![b'x'; size]);
    Response::builder()
        .header("fennelscale-request-id", head.headers["fennelscale-request-id"].clone())
        .header("fennelscale-response-signature", "signed")
        .body(Full::from(body))
        .expect("an answer")
}
