//! What attempts come to: exactly which are made, and what the client is told.

mod helper;

use fennelscale::back::connection::{HttpConnection, Progress};
use fennelscale_wire::reuse::ResponseFault;
use helper::{Backend, Do, Gateway, Mood, Setup, World, list, ok, pause, request, row};
use http_body_util::Full;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

const ERROR: &str = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
const FULL: &str = "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";
const UNCLEAR: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
const CUT: &str = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nonly this";
const GARBAGE: &str = "MUMBLE 7 FOO\r\n\r\n";
const ENDLESS: &str = "HTTP/1.1 200 OK\r\nX-A";
const HUGE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nand on it goes";

fn long_head() -> String {
    format!("HTTP/1.1 200 OK\r\nX-Long: {}", "y".repeat(20_000))
}

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
        Do::Say(GARBAGE.into()),
        Do::Say(CUT.into()),
        Do::Say(ENDLESS.into()),
        Do::Say(HUGE.into()),
        Do::Say(long_head()),
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
        world.discovery.taken_in().await;
        world.discovery.tell(told(backend.at));
        world.discovery.taken_in().await;
        helper::until("the free connection's end", || backend.closed() == 1).await;
        let reply = client.ask(&request("look", 900, "", "")).await;
        assert_eq!(reply.status(), 429);
        assert_eq!(backend.attempts(), 1);
        // Back in service it is used again.
        world.discovery.tell(list(3, false, &[row("b0", backend.at, "in_service")]));
        world.discovery.taken_in().await;
        assert_eq!(client.ask(&request("look", 900, "", "")).await.status(), 200);
        assert_eq!(backend.attempts(), 2);
    }
}

/// A listener whose queue is full, so that connections to it do not come up until one is accepted; and what fills it.
async fn crowded() -> (TcpListener, Vec<TcpStream>) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let listener = socket.listen(0).expect("a listener");
    let (at, mut held) = (listener.local_addr().expect("an address"), Vec::new());
    while let Ok(one) = tokio::time::timeout(Duration::from_millis(200), TcpStream::connect(at)).await {
        held.push(one.expect("a connection"));
    }
    (listener, held)
}

/// Whether somebody's connection to a port is coming up, by the kernel's word.
fn is_dialled(port: u16) -> bool {
    const SYN_SENT: u8 = 2;
    helper::sockets().iter().any(|socket| socket.remote == port && socket.state == SYN_SENT)
}

/// Whether bytes from a port have come to somebody's machine and wait to be read there.
fn has_come_from(port: u16) -> bool {
    helper::sockets().iter().any(|socket| socket.remote == port && socket.unread > 0)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drain_told_between_choosing_a_backend_and_the_first_byte_keeps_the_request_from_it() {
    let (listener, held) = crowded().await;
    let at = listener.local_addr().expect("an address");
    let other = Backend::start(&[Do::Say(ok("x"))]).await;
    let setup = Setup { ease: 50, ..Setup::knowing(&[row("b0", at, "in_service")]) };
    let world = World::set(&setup, Mood::Adds).await;
    let mut client = world.gateway.client().await;
    client.write(&request("order", 60_000, "", "b")).await;
    helper::until("the dial", || is_dialled(at.port())).await;
    let rows = [row("b0", at, "terminating"), row("b1", other.at, "in_service")];
    world.discovery.tell(list(2, true, &rows));
    world.discovery.taken_in().await;
    // Now the connection comes up, too late.
    for _ in &held {
        listener.accept().await.expect("what fills the queue");
    }
    let (mut late, _) =
        helper::soon("the gateway's connection", listener.accept()).await.expect("a connection");
    let mut bytes = Vec::new();
    let _ = helper::soon("its end", late.read_to_end(&mut bytes)).await;
    assert!(bytes.is_empty(), "written to a draining backend: {}", String::from_utf8_lossy(&bytes));
    assert_eq!((client.read().await.status(), other.attempts()), (200, 1));
    client.stays_quiet().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_list_that_cannot_be_read_changes_nothing_and_the_watch_goes_on() {
    let (old, new) =
        (Backend::start(&[Do::Say(ok("old"))]).await, Backend::start(&[Do::Say(ok("new"))]).await);
    let world = World::with(&[&old]).await;
    let mut client = world.gateway.client().await;
    for text in
        ["no list", "{}", r#"{"seq":9,"whole":true,"hosts":[{"host":"x","dial":"y","health":"in_service"}]}"#]
    {
        world.discovery.taken_in().await;
        world.discovery.tell(text.into());
        world.discovery.taken_in().await;
        assert_eq!(client.ask(&request("look", 900, "", "")).await.body, b"old");
    }
    world.discovery.tell(list(5, true, &[row("n", new.at, "in_service")]));
    world.discovery.taken_in().await;
    assert_eq!(client.ask(&request("look", 900, "", "")).await.body, b"new");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_of_the_watch_that_is_never_answered_is_made_again_before_its_news_is_old() {
    let (old, new) =
        (Backend::start(&[Do::SayLater(6000, ok("old"))]).await, Backend::start(&[Do::Say(ok("new"))]).await);
    let world = World::with(&[&old]).await;
    world.discovery.taken_in().await;
    let mut busy = world.gateway.client().await;
    busy.write(&request("look", 50_000, "", "")).await;
    tokio::select! {
        biased;
        () = helper::until("a second call", || world.discovery.calls.load(Ordering::SeqCst) > 1) => {}
        _ = busy.read() => panic!("the lost call was waited for"),
    }
    world.discovery.tell(list(2, true, &[row("n", new.at, "in_service")]));
    world.discovery.taken_in().await;
    let mut client = world.gateway.client().await;
    assert_eq!(client.ask(&request("order", 900, "", "b")).await.body, b"new");
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
        let mut link =
            HttpConnection::connect(at, Duration::from_secs(60), false).await.expect("a connection");
        let (mut peer, _) = listener.accept().await.expect("a connection");
        let request = hyper::Request::post("/x").body(Full::from(vec![b'x'; size])).expect("a request");
        let close = async move {
            let mut bytes = vec![0; heard];
            peer.read_exact(&mut bytes).await.expect("bytes");
            pause(100).await;
        };
        let (end, ()) = tokio::join!(link.exchange(request, 100, helper::LONG, None), close);
        assert_eq!(end.expect_err("a broken connection"), progress);
        assert!(!link.is_alive());
    }
}

#[tokio::test]
async fn a_request_that_must_be_written_by_a_time_is_given_up_only_while_it_is_not() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let at = listener.local_addr().expect("an address");
    let soon = || Some(tokio::time::Instant::now() + Duration::from_millis(100));
    // Larger than any socket buffer, to a peer that reads nothing: it is cut off.
    let mut link = HttpConnection::connect(at, Duration::from_secs(60), false).await.expect("a connection");
    let (mut peer, _) = listener.accept().await.expect("a connection");
    let size = 64 << 20;
    let request = hyper::Request::post("/x").body(Full::from(vec![b'x'; size])).expect("a request");
    let end = link.exchange(request, 100, helper::LONG, soon()).await;
    assert_eq!(end.expect_err("given up"), Progress::Partly);
    drop(link);
    let mut bytes = Vec::new();
    let _ = peer.read_to_end(&mut bytes).await;
    assert!(bytes.len() < size);
    // Written in time, it may be answered at any time.
    let mut link = HttpConnection::connect(at, Duration::from_secs(60), false).await.expect("a connection");
    let (mut peer, _) = listener.accept().await.expect("a connection");
    let request = hyper::Request::post("/x").body(Full::from("b")).expect("a request");
    let answer = async move {
        let mut byte = [0];
        peer.read_exact(&mut byte).await.expect("a byte");
        pause(300).await;
        peer.write_all(ok("x").as_bytes()).await.expect("written");
        peer
    };
    let (end, _peer) = tokio::join!(link.exchange(request, 100, helper::LONG, soon()), answer);
    assert_eq!(end.expect("an answer").1, "x");
}

/// A connection and its other side.
async fn pair() -> (HttpConnection, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let at = listener.local_addr().expect("an address");
    let link = HttpConnection::connect(at, Duration::from_secs(60), false).await.expect("a connection");
    (link, listener.accept().await.expect("a connection").0)
}

/// All that comes until the other side ends or breaks the connection.
async fn rest_of(peer: &mut TcpStream) -> usize {
    let (mut all, mut part) = (0, vec![0; 1 << 20]);
    while let Ok(read @ 1..) = helper::soon("the end", peer.read(&mut part)).await {
        all += read;
    }
    all
}

#[tokio::test]
async fn an_answer_ahead_of_the_last_byte_leaves_its_request_in_doubt_and_its_connection_unused() {
    // Larger than any socket buffer: its last byte is not written when the answer comes.
    let size = 64 << 20;
    let whole = ERROR.to_owned();
    for (early, is_whole) in [(whole, true), ("HTTP/1.1 200 OK\r\nContent-Le".to_owned(), false)] {
        let (mut link, mut peer) = pair().await;
        let request = hyper::Request::post("/x").body(Full::from(vec![b'x'; size])).expect("a request");
        let speak = async {
            peer.read_exact(&mut [0; 100]).await.expect("a beginning");
            peer.write_all(early.as_bytes()).await.expect("written");
            if !is_whole {
                peer.shutdown().await.expect("ended");
            }
        };
        let (end, ()) = tokio::join!(link.exchange(request, 100, helper::LONG, None), speak);
        // Whose it is can't be told from here.
        assert!(link.is_answered_early());
        match end {
            Ok((head, _)) => assert!(is_whole && head.status == 500),
            Err(progress) => assert!(!is_whole && progress == Progress::Spoilt),
        }
        // There is room for the rest from now on, and the connection is still moved: nothing is written behind a
        // failure, and no other request goes out on it.
        let mut part = vec![0; 1 << 20];
        let mut room = 0;
        while let Ok(read @ 1..) = peer.try_read(&mut part) {
            room += read;
        }
        assert!(room > 0 && !link.is_free().await && !link.is_alive());
        let again = hyper::Request::get("/x").body(Full::default()).expect("a request");
        let end = link.exchange(again, 100, helper::LONG, None).await;
        assert_eq!(end.expect_err("no exchange"), Progress::Unsent);
        drop(link);
        assert!(rest_of(&mut peer).await + room + 100 < size);
    }
}

#[tokio::test]
async fn the_rest_of_a_request_is_written_behind_an_early_success_and_its_connection_is_unused() {
    let size = 64 << 20;
    let (mut link, mut peer) = pair().await;
    let request = hyper::Request::post("/x").body(Full::from(vec![b'x'; size])).expect("a request");
    let speak = async {
        peer.read_exact(&mut [0; 100]).await.expect("a beginning");
        peer.write_all(ok("x").as_bytes()).await.expect("written");
        let (mut all, mut part) = (100, vec![0; 1 << 20]);
        while all < size {
            match helper::soon("the rest", peer.read(&mut part)).await.expect("bytes") {
                0 => break,
                read => all += read,
            }
        }
        (peer, all)
    };
    let (end, (_peer, all)) = tokio::join!(link.exchange(request, 100, helper::LONG, None), speak);
    assert_eq!(end.expect("an answer").1, "x");
    assert!(all >= size && link.is_answered_early() && link.fault().is_none());
    assert!(!link.is_free().await && !link.is_alive());
}

#[tokio::test]
async fn bytes_that_have_come_before_the_first_byte_is_written_keep_it_from_being_written() {
    // Whether they come before the first request, or the connection was found standing a moment ago.
    for asked_before in [false, true] {
        let (mut link, mut peer) = pair().await;
        let request = || hyper::Request::get("/x").body(Full::default()).expect("a request");
        if asked_before {
            let speak = async {
                peer.read_exact(&mut [0; 10]).await.expect("a request");
                peer.write_all(ok("x").as_bytes()).await.expect("written");
            };
            let (end, ()) = tokio::join!(link.exchange(request(), 100, helper::LONG, None), speak);
            assert_eq!(end.expect("an answer").1, "x");
            assert!(link.is_free().await && link.is_alive());
        }
        peer.write_all(ok("bad").as_bytes()).await.expect("written");
        let port = peer.local_addr().expect("an address").port();
        helper::until("the stray bytes", || has_come_from(port)).await;
        assert!(link.appears_idle(), "the event loop has heard nothing");
        let end = link.exchange(request(), 100, helper::LONG, None).await;
        assert_eq!(end.expect_err("no exchange"), Progress::Unsent);
        assert_eq!(link.fault(), Some(ResponseFault::Unsolicited));
        drop(link);
        let left = if asked_before { b"GET /x HTTP/1.1\r\n\r\n".len() - 10 } else { 0 };
        assert_eq!(rest_of(&mut peer).await, left, "something was written behind the stray bytes");
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
    // A free connection rests for a moment before it is used again.
    pause(50).await;
    assert_eq!(one.ask(&request("order", 700, "", "b")).await.status(), 504);
    helper::until("the end of both connections", || backend.closed() == 2).await;
    assert_eq!(backend.attempts(), 3);
}

#[tokio::test(flavor = "multi_thread")]
async fn spoilt_answers_from_all_alike_leave_the_fleet_in_use() {
    // One stands for all: left alone for as long as a cut answer took, it would be missed by the next request.
    let spoilt = [Do::Say(GARBAGE.into()), Do::Say(CUT.into()), Do::Say(CUT.into()), Do::Say(ok("x"))];
    let backend = Backend::start(&spoilt).await;
    let world = World::with(&[&backend]).await;
    let mut client = world.gateway.client().await;
    for status in [502, 502, 502, 200] {
        // Unsafe, so that each is sent once.
        assert_eq!(client.ask(&request("order", 900, "", "b")).await.status(), status);
    }
    // What carried a spoilt answer carries nothing more.
    assert_eq!((backend.attempts(), backend.opened()), (4, 4));
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_that_break_under_requests_leave_the_backend_in_use() {
    // One stands for all. Left alone, it would be missed for longer than a request is held.
    let breaks = Do::SayAndClose(String::new());
    let deeds = [breaks.clone(), Do::Say(ok("one")), breaks.clone(), breaks, Do::Say(ok("two"))];
    let backend = Backend::start(&deeds).await;
    let rows = [row("b", backend.at, "in_service")];
    let world = World::set(&Setup { cold: 60_000, ..Setup::knowing(&rows) }, Mood::Adds).await;
    let mut client = world.gateway.client().await;
    // Safe: it has a second try on the same backend.
    assert_eq!(client.ask(&request("look", 900, "", "")).await.body, b"one");
    assert_eq!(client.ask(&request("order", 900, "", "b")).await.status(), 502);
    assert_eq!(client.ask(&request("order", 900, "", "b")).await.status(), 502);
    assert_eq!(client.ask(&request("order", 900, "", "b")).await.body, b"two");
    assert_eq!(backend.attempts(), 5);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_backend_that_breaks_every_connection_is_left_alone() {
    let backend = Backend::start(&[Do::SayAndClose(String::new())]).await;
    let rows = [row("b", backend.at, "in_service")];
    let world = World::set(&Setup { cold: 600_000, ..Setup::knowing(&rows) }, Mood::Adds).await;
    let mut client = world.gateway.client().await;
    for status in [502, 502, 502, 429, 429] {
        assert_eq!(client.ask(&request("order", 900, "", "b")).await.status(), status);
    }
    assert_eq!(backend.attempts(), 3);
}

#[tokio::test(flavor = "multi_thread")]
async fn where_kept_connections_broke_at_an_age_new_ones_are_made_for_a_while() {
    let breaks = Do::SayAndClose(String::new());
    let backend = Backend::start(&[Do::Say(ok("x")), breaks, Do::Say(ok("x"))]).await;
    let world = World::with(&[&backend]).await;
    let mut client = world.gateway.client().await;
    // The second finds a connection that stands, and breaks; the third makes one; the fourth finds it old.
    for (status, opened) in [(200, 1), (502, 1), (200, 2), (200, 3), (200, 4)] {
        assert_eq!(client.ask(&request("order", 900, "", "b")).await.status(), status);
        assert_eq!(backend.opened(), opened);
        pause(450).await;
    }
    // Young ones are used as ever.
    for _ in 0..3 {
        assert_eq!(client.ask(&request("order", 900, "", "b")).await.status(), 200);
        pause(30).await;
    }
    assert_eq!((backend.attempts(), backend.opened()), (8, 5));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_good_answer_with_more_behind_it_is_served_and_its_connection_dropped() {
    let good = ok("good");
    for text in [good.clone() + &ok("bad"), good.clone() + "#~ noise", good.clone() + "HTTP/1.1 200"] {
        let backend = Backend::start(&[Do::Say(text.clone()), Do::Say(good.clone())]).await;
        let world = World::with(&[&backend]).await;
        let mut client = world.gateway.client().await;
        for _ in 0..2 {
            assert_eq!(client.ask(&request("order", 900, "", "b")).await.body, b"good", "{text}");
        }
        client.stays_quiet().await;
        assert_eq!((backend.attempts(), backend.opened()), (2, 2), "{text}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn bytes_that_come_between_two_requests_answer_neither() {
    // With no rest at all: what counts is that they have come, not when.
    let operators = Some("[upstream]\nrest = \"0ms\"".to_owned());
    for (class, body) in [("look", ""), ("save", "b"), ("order", "b")] {
        let stray = Do::SayAndWhenTold(ok("good"), ok("bad"));
        let backend = Backend::start(&[stray, Do::Say(ok("good"))]).await;
        let rows = [row("b", backend.at, "in_service")];
        let setup = Setup { operators: operators.clone(), ease: 50, ..Setup::knowing(&rows) };
        let world = World::set(&setup, Mood::Adds).await;
        let mut client = world.gateway.client().await;
        let deadline = 60_000;
        assert_eq!(client.ask(&request(class, deadline, "", body)).await.body, b"good");
        backend.told.notify_one();
        // They have come, or the gateway has noticed already and closed.
        helper::until("the stray bytes", || has_come_from(backend.at.port()) || backend.closed() > 0).await;
        assert_eq!(client.ask(&request(class, deadline, "", body)).await.body, b"good", "{class}");
        client.stays_quiet().await;
        assert_eq!((backend.attempts(), backend.opened()), (2, 2), "{class}");
    }
}

/// A second answer is written after the next request has come: its place is that request's, and nothing else is said of it.
async fn misplaced(class: &str, more: &str, operators: &str) -> (Backend, World, helper::Heard) {
    let named = |body: &str| {
        format!("HTTP/1.1 200 OK\r\nAnswers: {more}\r\nContent-Length: {}\r\n\r\n{body}", body.len())
    };
    let backend = Backend::start(&[Do::Say(ok("good")), Do::Say(named("bad")), Do::Say(ok("good"))]).await;
    let rows = [row("b", backend.at, "in_service")];
    let setup = Setup { operators: Some(operators.into()), ease: 50, ..Setup::knowing(&rows) };
    let world = World::set(&setup, Mood::Adds).await;
    let mut client = world.gateway.client().await;
    assert_eq!(client.ask(&request("look", 60_000, "", "")).await.body, b"good");
    let reply = client.ask(&request(class, 60_000, "", "b")).await;
    client.stays_quiet().await;
    (backend, world, reply)
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_names_another_request_is_not_passed_on_and_the_request_may_have_run() {
    let operators =
        "[upstream]\nrest = \"0ms\"\nafter-fault = \"10min\"\nidentity = { header = \"Answers\" }";
    let (backend, world, reply) = misplaced("order", "id-of-another", operators).await;
    assert_eq!((reply.status(), backend.attempts()), (502, 2));
    assert_ne!(reply.body, b"bad");
    // From now on each connection to this backend carries one request.
    let mut client = world.gateway.client().await;
    for opened in [2, 3] {
        assert_eq!(client.ask(&request("order", 60_000, "", "b")).await.body, b"good");
        assert_eq!(backend.opened(), opened);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn where_answers_must_name_their_request_one_that_names_none_is_nobodys() {
    let operators = "[upstream]\nidentity = { header = \"answers\", required = true }";
    let backend = Backend::start(&[Do::Say(ok("good"))]).await;
    let rows = [row("b", backend.at, "in_service")];
    let setup = Setup { operators: Some(operators.into()), ..Setup::knowing(&rows) };
    let world = World::set(&setup, Mood::Adds).await;
    let mut client = world.gateway.client().await;
    assert_eq!(client.ask(&request("order", 900, "", "b")).await.status(), 502);
    assert_eq!(backend.attempts(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_with_connections_of_their_own_use_none_that_has_carried_another() {
    for own in ["unsafe = true", "classes = [\"order\"]"] {
        let operators = format!("[upstream]\nrest = \"0ms\"\n[upstream.own-connection]\n{own}");
        let (backend, world, _) = misplaced("order", "x", &operators).await;
        assert_eq!((backend.attempts(), backend.opened()), (2, 2), "{own}");
        // What may be repeated and is not named goes on kept ones as ever.
        let mut client = world.gateway.client().await;
        assert_eq!(client.ask(&request("look", 60_000, "", "")).await.status(), 200);
        assert_eq!((backend.attempts(), backend.opened()), (3, 2), "{own}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_sooner_than_any_backend_gives_one_is_not_passed_on() {
    // A second is longer than a stand-in takes, and the true answer comes after it.
    let operators = "[upstream]\nfastest-answer = \"1s\"";
    let backend =
        Backend::start(&[Do::SayAndWhenTold(String::new(), ok("true")), Do::Say(ok("foreign"))]).await;
    let rows = [row("b", backend.at, "in_service")];
    let setup = Setup { operators: Some(operators.into()), ease: 50, ..Setup::knowing(&rows) };
    let world = World::set(&setup, Mood::Adds).await;
    let mut client = world.gateway.client().await;
    client.write(&request("order", 60_000, "", "b")).await;
    helper::until("the request", || backend.attempts() == 1).await;
    pause(1000).await;
    backend.told.notify_one();
    assert_eq!(client.read().await.body, b"true");
    assert_eq!(client.ask(&request("order", 60_000, "", "b")).await.status(), 502);
    assert_eq!(backend.attempts(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_1xx_ahead_are_skipped_however_early_and_odd_load_reports_are_left_out() {
    let early = "HTTP/1.1 102 Processing\r\n\r\n".to_owned();
    let loads = ["TEXT inflight=-7, queue=1e300", "TEXT util=x,,=", ""];
    for load in loads {
        let answer = format!("HTTP/1.1 200 OK\r\nSrv-Load: {load}\r\nContent-Length: 4\r\n\r\ngood");
        let deeds = [Do::SayAndWhenTold(early.clone(), answer.clone()), Do::Say(early.clone() + &answer)];
        let backend = Backend::start(&deeds).await;
        let setup = Setup { ease: 50, ..Setup::knowing(&[row("b", backend.at, "in_service")]) };
        let world = World::set(&setup, Mood::Adds).await;
        let mut client = world.gateway.client().await;
        client.write(&request("order", 60_000, "", "b")).await;
        helper::until("the first request", || backend.attempts() == 1).await;
        // Longer than an answer may take that has begun.
        pause(400).await;
        backend.told.notify_one();
        assert_eq!(client.read().await.body, b"good", "{load}");
        assert_eq!(client.ask(&request("order", 60_000, "", "b")).await.body, b"good", "{load}");
        assert_eq!(backend.attempts(), 2);
    }
}
