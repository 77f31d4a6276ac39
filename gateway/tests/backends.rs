//! What attempts come to: exactly which are made, and what the client is told.

mod helper;

use fennelscale::link::{Link, Progress};
use helper::{Backend, Do, Gateway, Mood, Setup, World, list, ok, pause, request, row};
use http_body_util::Full;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpSocket};

const ERROR: &str = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
const FULL: &str = "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";
const UNCLEAR: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
const CUT: &str = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nonly this";
const GARBAGE: &str = "MUMBLE 7 FOO\r\n\r\n";

/// A port that is held but not listened at: it refuses, and nobody else can take it.
fn refusing() -> (TcpSocket, SocketAddr) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let at = socket.local_addr().expect("an address");
    (socket, at)
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unsafe_request_that_may_have_run_fails_and_is_not_sent_again() {
    for deed in [
        Do::Say(ERROR.into()),
        Do::Say(UNCLEAR.into()),
        Do::SayAndClose(String::new()),
        Do::SayAndClose(CUT.into()),
        Do::SayAndClose(GARBAGE.into()),
    ] {
        let (a, b) = (
            Backend::start(std::slice::from_ref(&deed)).await,
            Backend::start(std::slice::from_ref(&deed)).await,
        );
        let world = World::with(&[&a, &b]).await;
        let mut client = world.gateway.client().await;
        assert_eq!(client.ask(&request("order", 900, "", "b")).await.status(), 502, "{deed:?}");
        client.stays_quiet().await;
        assert_eq!(a.attempts() + b.attempts(), 1, "{deed:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_safe_request_is_sent_once_more_after_any_end() {
    for deed in [Do::Say(ERROR.into()), Do::SayAndClose(String::new()), Do::SayAndClose(CUT.into())] {
        let (a, b) = (
            Backend::start(std::slice::from_ref(&deed)).await,
            Backend::start(std::slice::from_ref(&deed)).await,
        );
        let world = World::with(&[&a, &b]).await;
        let mut client = world.gateway.client().await;
        let reply = client.ask(&request("look", 900, "", "")).await;
        assert_eq!(reply.status(), 429, "{deed:?}");
        assert!(reply.headers.contains_key("retry-after"));
        client.stays_quiet().await;
        assert_eq!(a.attempts() + b.attempts(), 2, "{deed:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unsafe_request_that_was_turned_away_goes_to_another_backend() {
    let full = [Do::Say(FULL.into()), Do::Say(ok("second"))];
    let (a, b) = (Backend::start(&full).await, Backend::start(&[Do::Say(ok("first"))]).await);
    let world = World::with(&[&a, &b]).await;
    let mut client = world.gateway.client().await;
    for _ in 0..10 {
        assert_eq!(client.ask(&request("order", 900, "", "b")).await.status(), 200);
    }
    assert_eq!(a.attempts() + b.attempts(), if a.attempts() > 0 { 11 } else { 10 });
}

#[tokio::test(flavor = "multi_thread")]
async fn a_backend_that_takes_no_connection_costs_no_request() {
    let (_held, gone) = refusing();
    let live = Backend::start(&[Do::Say(ok("x"))]).await;
    let rows = [row("a", gone, "in_service"), row("b", live.at, "in_service")];
    let world = World::set(&Setup::knowing(&rows), Mood::Adds).await;
    let mut client = world.gateway.client().await;
    for _ in 0..10 {
        assert_eq!(client.ask(&request("order", 900, "", "b")).await.status(), 200);
    }
    assert_eq!(live.attempts(), 10);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_free_connection_that_its_backend_closed_is_not_written_to() {
    let backend = Backend::start(&[Do::SayAndClose(ok("x"))]).await;
    let world = World::with(&[&backend]).await;
    let mut client = world.gateway.client().await;
    for n in 1..=10 {
        assert_eq!(client.ask(&request("order", 900, "", "b")).await.status(), 200);
        helper::until("the backend's close", || backend.closed() == n).await;
    }
    assert_eq!(backend.attempts(), 10);
}

#[tokio::test(flavor = "multi_thread")]
async fn once_a_backend_drains_or_is_gone_it_hears_nothing_new() {
    let gone = |at| list(2, false, &[row("b0", at, "terminated")]);
    let drains = |at| list(2, false, &[row("b0", at, "terminating")]);
    let missing = |_| list(2, true, &[]);
    for told in [&drains as &dyn Fn(_) -> String, &gone, &missing] {
        let backend = Backend::start(&[Do::Say(ok("x"))]).await;
        let world = World::with(&[&backend]).await;
        let mut client = world.gateway.client().await;
        assert_eq!(client.ask(&request("look", 900, "", "")).await.status(), 200);
        world.discovery.asked_again(0).await;
        world.discovery.tell(told(backend.at));
        world.discovery.asked_again(1).await;
        helper::until("the free connection's end", || backend.closed() == 1).await;
        let reply = client.ask(&request("look", 900, "", "")).await;
        assert_eq!(reply.status(), 429);
        assert_eq!(backend.attempts(), 1);
        // Back in service it is used again.
        world.discovery.tell(list(3, false, &[row("b0", backend.at, "in_service")]));
        world.discovery.asked_again(2).await;
        assert_eq!(client.ask(&request("look", 900, "", "")).await.status(), 200);
        assert_eq!(backend.attempts(), 2);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_list_that_cannot_be_read_changes_nothing_and_the_watch_goes_on() {
    let (old, new) =
        (Backend::start(&[Do::Say(ok("old"))]).await, Backend::start(&[Do::Say(ok("new"))]).await);
    let world = World::with(&[&old]).await;
    let mut client = world.gateway.client().await;
    let calls = || world.discovery.calls.load(Ordering::SeqCst);
    for text in
        ["no list", "{}", r#"{"seq":9,"whole":true,"hosts":[{"host":"x","dial":"y","health":"in_service"}]}"#]
    {
        world.discovery.asked_again(0).await;
        let before = calls();
        world.discovery.tell(text.into());
        world.discovery.asked_again(before).await;
        assert_eq!(client.ask(&request("look", 900, "", "")).await.body, b"old");
    }
    let before = calls();
    world.discovery.tell(list(5, true, &[row("n", new.at, "in_service")]));
    world.discovery.asked_again(before).await;
    assert_eq!(client.ask(&request("look", 900, "", "")).await.body, b"new");
}

#[tokio::test(flavor = "multi_thread")]
async fn what_is_known_is_enough_to_serve_without_discovery_or_counter() {
    let (_held, nobody) = refusing();
    let backend = Backend::start(&[Do::Say(ok("x"))]).await;
    let setup = Setup::knowing(&[row("b", backend.at, "in_service")]);
    let gateway = Gateway::start(nobody, nobody, &setup).await;
    let mut client = gateway.client().await;
    assert_eq!(client.ask("GET /up HTTP/1.1\r\nHost: x\r\n\r\n").await.status(), 200);
    for _ in 0..5 {
        assert_eq!(client.ask(&request("order", 900, "", "b")).await.status(), 200);
    }
    assert_eq!(backend.attempts(), 5);
}

#[tokio::test]
async fn a_broken_connection_tells_how_far_the_request_got() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let at = listener.local_addr().expect("an address");
    // Larger than any socket buffer, to a peer that reads little of it and closes: not written whole.
    for (size, heard, progress) in [(64 << 20, 10, Progress::Partly), (10, 40, Progress::Whole)] {
        let mut link = Link::connect(at, Duration::from_secs(60)).await.expect("a connection");
        let (mut peer, _) = listener.accept().await.expect("a connection");
        let request = hyper::Request::post("/x").body(Full::from(vec![b'x'; size])).expect("a request");
        let close = async move {
            let mut bytes = vec![0; heard];
            peer.read_exact(&mut bytes).await.expect("bytes");
            pause(100).await;
        };
        let (end, ()) = tokio::join!(link.exchange(request, 100), close);
        assert_eq!(end.expect_err("a broken connection"), progress);
        assert!(!link.stands());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_time_out_casts_doubt_on_the_free_connections_to_that_backend() {
    let backend = Backend::start(&[Do::SayLater(300, ok("x"))]).await;
    let world = World::with(&[&backend]).await;
    let (mut one, mut two) = (world.gateway.client().await, world.gateway.client().await);
    let (first, second) = (request("look", 900, "", ""), request("look", 900, "", ""));
    let (first, second) = tokio::join!(one.ask(&first), two.ask(&second));
    assert_eq!((first.status(), second.status(), backend.opened(), backend.closed()), (200, 200, 2, 0));
    *backend.deeds.lock().expect("lock") = vec![Do::Hang];
    assert_eq!(one.ask(&request("order", 700, "", "b")).await.status(), 504);
    helper::until("the end of both connections", || backend.closed() == 2).await;
    assert_eq!(backend.attempts(), 3);
}
