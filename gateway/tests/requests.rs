//! What comes in from clients: what is taken, what is not, and what goes on to backends.

mod helper;

use helper::{Backend, Do, World, ok, pause, request};
use tokio::io::AsyncWriteExt;

#[tokio::test(flavor = "multi_thread")]
async fn a_request_goes_on_as_it_came_and_its_answer_comes_back_unchanged() {
    let answer = "HTTP/1.1 200 OK\r\nX-Note: n\r\nContent-Type: a/b\r\nTransfer-Encoding: chunked\r\n\r\n\
                  3\r\nab\n\r\n2\r\ncd\r\n0\r\n\r\n";
    let backend = Backend::start(&[Do::Say(answer.into())]).await;
    let world = World::with(&[&backend]).await;
    let mut client = world.gateway.client().await;
    let reply = client.ask(&request("save", 900, "Content-Type: x/y\r\n", "the body")).await;
    assert_eq!((reply.status(), reply.body.as_slice()), (200, &b"ab\ncd"[..]));
    assert_eq!((reply.headers["x-note"].as_str(), reply.headers["content-type"].as_str()), ("n", "a/b"));
    client.stays_quiet().await;
    let heard = backend.heard.lock().expect("lock").clone();
    assert_eq!(heard.len(), 1);
    assert_eq!(heard[0].line, "POST /save/a%20b?c=d HTTP/1.1");
    assert_eq!(heard[0].body, b"the body");
    assert!(heard[0].headers["req-id"].starts_with("id-"));
    assert!(heard[0].headers["idempotency-key"].starts_with("key-"));
    assert_eq!(heard[0].headers["content-type"], "x/y");
    let left: u64 = heard[0].headers["req-deadline-ms"].parse().expect("a whole number");
    assert!((1..900).contains(&left), "{left}");
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_are_used_again_on_both_sides() {
    let backend = Backend::start(&[Do::Say(ok("x"))]).await;
    let world = World::with(&[&backend]).await;
    let mut client = world.gateway.client().await;
    for _ in 0..20 {
        assert_eq!(client.ask(&request("order", 900, "", "b")).await.status(), 200);
        // A free connection rests for a moment before it is used again.
        pause(20).await;
    }
    assert_eq!((backend.attempts(), backend.opened()), (20, 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn what_cannot_be_used_is_answered_400_or_404_and_goes_nowhere() {
    let backend = Backend::start(&[Do::Say(ok("x"))]).await;
    let world = World::with(&[&backend]).await;
    let good = request("look", 900, "", "");
    let post = request("order", 900, "", "");
    let cases = [
        (400, good.replace("/look/", "/unheard/")),
        (404, good.replace("/look/a%20b?c=d", "/")),
        (400, good.replace("GET", "POST")),
        (400, post.replace("POST", "GET")),
        (400, request("save", 900, "", "").replace("Idempotency-Key", "X-Key")),
        (400, request("order", 900, "Idempotency-Key: k\r\n", "")),
        (400, request("save", 900, "Idempotency-Key: again\r\n", "")),
        (400, good.replace("Req-Id: ", "Req-Id: a b")),
        (400, good.replace("Req-Id", "X-Id")),
        (400, good.replace("Api-Plan: p", "Api-Plan: q")),
        (400, good.replace("Api-Plan", "X-Plan")),
        (400, good.replace("00000000b4d65521", "b4d65521")),
        (400, good.replace("00000000b4d65521", "00000002b4d65521")),
        (400, good.replace("00000000b4d65521", "00000000b4d6552x")),
        (400, good.replace("Api-Customer", "X-Customer")),
        (400, good.replace("Req-Deadline-Ms: 900", "Req-Deadline-Ms: 0")),
        (400, good.replace("Req-Deadline-Ms: 900", "Req-Deadline-Ms: -1")),
        (400, good.replace("Req-Deadline-Ms: 900", "Req-Deadline-Ms: 1e99")),
        (400, good.replace("Req-Deadline-Ms: 900", "Req-Deadline-Ms: 99999999999")),
        (400, good.replace("Req-Deadline-Ms", "X-Deadline-Ms")),
        (400, good.replace("Api-Terms", "X-Terms")),
        (400, good.replace("units=1", "units=NaN")),
        (400, good.replace("units=1", "units=-1")),
        (400, good.replace("units=1", "units=1e300")),
        (400, good.replace("spread=1", "spread=0")),
        (400, good.replace("spread=1,", "")),
        (400, good.replace("spread=1", "spread=2")),
        (400, good.replace("spread=1", "spread=+1")),
        (400, good.replace("first=0", "first=1")),
        (400, good.replace("first=0", "first=99999999999")),
        (400, good.replace("Req-Deadline-Ms: 900", "Req-Deadline-Ms: +900")),
        (400, good.replace("first=0", "first=x")),
        (400, request("look", 900, "Req-Retry: maybe\r\n", "")),
        (400, request("look", 900, "Content-Length: 1\r\n", "x")),
        (400, "what is this\r\n\r\n".into()),
        (
            400,
            format!("GET /look HTTP/1.1\r\nX-Long: {}\r\n", "y".repeat(8)).replace("\r\nX", "\r\n X")
                + "\r\n",
        ),
        (431, format!("GET /look HTTP/1.1\r\nX-Long: {}\r\n\r\n", "y".repeat(20_000))),
        (400, post.replace("Content-Length: 0", "Content-Length: -1")),
        (400, post.replace("Content-Length: 0", "Content-Length: x")),
    ];
    for (status, text) in cases {
        let mut client = world.gateway.client().await;
        assert_eq!(client.ask(&text).await.status(), status, "{text}");
        client.is_closed().await;
    }
    assert_eq!(backend.attempts(), 0);
    assert_eq!(world.gateway.client().await.ask(&good).await.status(), 200);
    assert_eq!(backend.attempts(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_of_64_kib_passes_and_a_larger_one_does_not() {
    let backend = Backend::start(&[Do::Say(ok("x"))]).await;
    let world = World::with(&[&backend]).await;
    let most = "y".repeat(64 * 1024);
    let reply = world.gateway.client().await.ask(&request("order", 900, "", &most)).await;
    assert_eq!(reply.status(), 200);
    assert!(backend.heard.lock().expect("lock")[0].body == most.as_bytes());
    let more = request("order", 900, "", &(most.clone() + "y"));
    assert_eq!(world.gateway.client().await.ask(&more).await.status(), 413);
    let chunked = request("order", 900, "Transfer-Encoding: chunked\r\n", "")
        .replace("Content-Length: 0\r\n", "")
        + &format!("10001\r\n{most}y\r\n0\r\n\r\n");
    assert_eq!(world.gateway.client().await.ask(&chunked).await.status(), 413);
    assert_eq!(backend.attempts(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_client_that_leaves_has_its_attempt_given_up_and_not_repeated() {
    let backend = Backend::start(&[Do::Hang, Do::Say(ok("x"))]).await;
    let world = World::with(&[&backend]).await;
    let mut client = world.gateway.client().await;
    client.write(&request("look", 50_000, "", "")).await;
    helper::until("the attempt", || backend.attempts() == 1).await;
    drop(client);
    helper::until("the end of the attempt's connection", || backend.closed() == 1).await;
    pause(300).await;
    assert_eq!(backend.attempts(), 1);
    assert_eq!(world.gateway.client().await.ask(&request("look", 900, "", "")).await.status(), 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn without_an_answer_the_client_hears_so_once_before_its_time_is_over() {
    let backend = Backend::start(&[Do::Hang]).await;
    let world = World::with(&[&backend]).await;
    for class in ["look", "save", "order"] {
        let (before, closed) = (backend.attempts(), backend.closed());
        let mut client = world.gateway.client().await;
        let reply = client.ask(&request(class, 700, "", "")).await;
        assert_eq!(reply.status(), 504, "{class}");
        client.stays_quiet().await;
        assert_eq!(backend.attempts(), before + 1, "{class}");
        helper::until("the attempt given up", || backend.closed() == closed + 1).await;
        // The module leaves a backend that gave no answer alone for as long as that took.
        pause(900).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_client_that_leaves_speaks_against_no_backend() {
    let backend = Backend::start(&[Do::Hang, Do::Say(ok("x"))]).await;
    let world = World::with(&[&backend]).await;
    let mut client = world.gateway.client().await;
    client.write(&request("order", 50_000, "", "b")).await;
    helper::until("the attempt", || backend.attempts() == 1).await;
    // Longer than a request is held for a backend: one left alone for as long again would cost the next one.
    pause(1000).await;
    drop(client);
    helper::until("the end of the attempt's connection", || backend.closed() == 1).await;
    let reply = world.gateway.client().await.ask(&request("order", 900, "", "b")).await;
    assert_eq!((reply.status(), backend.attempts()), (200, 2));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_with_both_a_length_and_a_transfer_encoding_hides_nothing() {
    let backend = Backend::start(&[Do::Say(ok("x"))]).await;
    let world = World::with(&[&backend]).await;
    let hidden = request("order", 900, "", "");
    let (length, encoding) = ("Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n");
    let plain = request("order", 900, "", "").replace("Content-Length: 0\r\n", "HERE");
    // The HTTP library forgets a length that stands behind the encoding.
    for both in [[length, encoding], [encoding, length], [encoding, "content-LENGTH: 5\r\n"]] {
        let text = plain.replace("HERE", &both.concat()) + "0\r\n\r\n" + &hidden;
        let mut client = world.gateway.client().await;
        assert_eq!(client.ask(&text).await.status(), 400, "{text}");
        client.is_closed().await;
        // The same in the middle of a connection, and behind another request.
        let mut client = world.gateway.client().await;
        assert_eq!(client.ask("GET /up HTTP/1.1\r\nHost: x\r\n\r\n").await.status(), 200);
        assert_eq!(client.ask(&text).await.status(), 400, "{text}");
        let mut client = world.gateway.client().await;
        client.write(&("GET /up HTTP/1.1\r\nHost: x\r\n\r\n".to_owned() + &text)).await;
        assert_eq!((client.read().await.status(), client.read().await.status()), (200, 400), "{text}");
        client.is_closed().await;
    }
    let gzip = plain.replace("HERE", "Transfer-Encoding: gzip, chunked\r\n") + "0\r\n\r\n";
    assert_eq!(world.gateway.client().await.ask(&gzip).await.status(), 400);
    assert_eq!(backend.attempts(), 0);
    let chunked = plain.replace("HERE", encoding) + "5\r\nhello\r\n0\r\n\r\n";
    assert_eq!(world.gateway.client().await.ask(&chunked).await.status(), 200);
    assert_eq!(backend.heard.lock().expect("lock")[0].body, b"hello");
    assert_eq!(backend.attempts(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_id_of_an_open_request_is_taken() {
    let backend = Backend::start(&[Do::SayLater(500, ok("x"))]).await;
    let world = World::with(&[&backend]).await;
    let text = request("order", 5000, "", "b");
    let mut client = world.gateway.client().await;
    client.write(&text).await;
    helper::until("the attempt", || backend.attempts() == 1).await;
    assert_eq!(world.gateway.client().await.ask(&text).await.status(), 400);
    assert_eq!(client.read().await.status(), 200);
    assert_eq!(backend.attempts(), 1);
    // Once it is answered, the id is as good as any.
    assert_eq!(client.ask(&text).await.status(), 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn clients_that_bring_no_whole_request_are_let_go_of_however_many_bytes_they_bring() {
    let world = World::with(&[]).await;
    let half = request("order", 900, "", "").replace("Content-Length: 0", "Content-Length: 60000");
    world.gateway.client().await.is_closed().await;
    for start in ["GET /look HTTP/1.1\r\nX-Slow: ", half.as_str()] {
        let mut client = world.gateway.client().await;
        client.write(start).await;
        let mut sent = 0;
        helper::soon("the close", async {
            while client.0.get_mut().write_all(b"y").await.is_ok() {
                sent += 1;
                pause(50).await;
            }
        })
        .await;
        assert!(sent < 1000, "closed after {sent} bytes");
    }
    // One that was answered and stays is let go of as well.
    let mut client = world.gateway.client().await;
    assert_eq!(client.ask("GET /up HTTP/1.1\r\nHost: x\r\n\r\n").await.status(), 200);
    client.is_closed().await;
}
