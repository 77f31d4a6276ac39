//! Connections at the door of the running gateway: caps, refusals, floods, proxies, slow clients, descriptors that run out.

mod helper;

use helper::{Backend, Client, Do, Gateway, Heard, Mood, Setup, World, connect_from, ok, request, row};
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const UP: &str = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";
const KNOWN: Ipv4Addr = Ipv4Addr::new(127, 0, 5, 1);
const NEW: Ipv4Addr = Ipv4Addr::new(127, 0, 6, 1);
/// Caps far away, so that a test meets the rule it is about.
const WIDE: &str = "[admission]\nstrangers = \"10000/s\"\nstrangers-burst = 10000\n";

fn setup(backend: &Backend, operators: &str) -> Setup {
    Setup { operators: Some(operators.into()), ..Setup::knowing(&[row("b", backend.at, "in_service")]) }
}

async fn world(backend: &Backend, operators: &str) -> World {
    World::set(&setup(backend, operators), Mood::Adds).await
}

/// What a connection that was refused reads: a whole answer and a close, or a reset.
async fn refusal(client: Option<Client>) -> Option<String> {
    let mut client = client?;
    let mut text = String::new();
    let read = helper::soon("the end of a refused connection", client.0.read_to_string(&mut text)).await;
    read.is_ok().then_some(text)
}

fn is_whole_503(text: &str) -> bool {
    text.starts_with("HTTP/1.1 503 ")
        && text.contains("\r\nRetry-After: ")
        && text.contains("\r\nConnection: close\r\n")
        && text.ends_with("\r\n\r\nno room for this connection, try again later\n")
}

async fn order(client: &mut Client) -> Heard {
    client.ask(&request("order", 20_000, "", "b")).await
}

async fn become_known(gateway: &Gateway) {
    let mut client = gateway.client_from(KNOWN).await;
    for _ in 0..4 {
        assert_eq!(order(&mut client).await.status(), 200);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_client_beyond_its_cap_reads_a_whole_503_and_others_are_served() {
    let backend = Backend::start(&[Do::Say(ok("x"))]).await;
    let world = world(&backend, "[admission.caps]\nopen = 2\n").await;
    let mut first = world.gateway.client_from(NEW).await;
    let mut second = world.gateway.client_from(NEW).await;
    assert_eq!((order(&mut first).await.status(), order(&mut second).await.status()), (200, 200));
    let mut third = world.gateway.client_from(NEW).await;
    // What it asks is read away, so that the answer is not lost to a reset; it goes nowhere.
    third.write(&request("order", 900, "", &"y".repeat(20_000))).await;
    let text = refusal(Some(third)).await.expect("no reset");
    assert!(is_whole_503(&text), "{text}");
    assert_eq!(order(&mut world.gateway.client_from(KNOWN).await).await.status(), 200);
    drop(first);
    helper::soon("room", async {
        while order(&mut world.gateway.client_from(NEW).await).await.status() != 200 {}
    })
    .await;
    assert_eq!(backend.attempts(), 4);
}

#[tokio::test(flavor = "multi_thread")]
async fn each_refusal_is_a_whole_answer_or_a_reset_and_none_hangs() {
    let backend = Backend::start(&[Do::Say(ok("x"))]).await;
    let rules = "[admission.caps]\nopen = 1\n[admission.refusals]\nanswered = \"RATE/s\"\nlingering = 2\nlinger = \"1min\"\n";
    // With no places to linger left, answers are brief; beyond the rate there are none.
    for (rate, answers) in [("10000", 20), ("0.001", 0)] {
        let world = world(&backend, &rules.replace("RATE", rate)).await;
        let _open = world.gateway.client_from(NEW).await;
        let mut first = world.gateway.client_from(NEW).await;
        if answers > 0 {
            assert_eq!(first.read().await.status(), 503);
        }
        let mut told = 0;
        for _ in 0..20 {
            if let Some(text) = refusal(world.gateway.try_client_from(NEW).await).await {
                assert!(is_whole_503(&text), "{text}");
                told += 1;
            }
        }
        assert_eq!(told, answers);
    }
    assert_eq!(backend.attempts(), 0);
}

/// Connections from ever new addresses that do what floods do, until told to stop. Counts those that were turned away.
fn flood(gateway: &Gateway, stop: &Arc<AtomicBool>) -> Arc<AtomicU32> {
    let turned_away = Arc::new(AtomicU32::new(0));
    for lane in 0..24_u8 {
        let (at, stop, turned_away) = (gateway.at, stop.clone(), turned_away.clone());
        tokio::spawn(async move {
            let mut kept = std::collections::VecDeque::new();
            // Bounded, should nobody stop it.
            for n in 0..4000_u32 {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                let from = Ipv4Addr::new(127, 64 + lane, (n / 250) as u8, (n % 250) as u8 + 1);
                let Ok(mut stream) = connect_from(from, at).await else { continue };
                let said: &[u8] = match n % 5 {
                    0 => b"",
                    1 => b"GET /look HTTP/1.1\r\nX-Slow: y",
                    2 => UP.as_bytes(),
                    3 => b"\0\0\0\0",
                    _ => {
                        let _ = stream.set_zero_linger();
                        continue;
                    }
                };
                if stream.write_all(said).await.is_err() {
                    turned_away.fetch_add(1, Ordering::SeqCst);
                }
                kept.push_back(stream);
                if kept.len() > 16
                    && let Some(mut oldest) = kept.pop_front()
                {
                    let mut text = Vec::new();
                    let read = tokio::time::timeout(
                        std::time::Duration::from_millis(20),
                        oldest.read_to_end(&mut text),
                    )
                    .await;
                    if matches!(read, Ok(Err(_))) || text.starts_with(b"HTTP/1.1 503") {
                        turned_away.fetch_add(1, Ordering::SeqCst);
                    }
                }
                tokio::time::sleep(std::time::Duration::from_millis(5)).await;
            }
        });
    }
    turned_away
}

/// A new client may be refused, and gets in by coming again: after how many tries.
async fn get_in(gateway: &Gateway) -> u32 {
    let mut tries = 0;
    helper::soon("the way in", async {
        loop {
            tries += 1;
            if let Some(mut client) = gateway.try_client_from(NEW).await
                && client.0.get_mut().write_all(request("order", 20_000, "", "b").as_bytes()).await.is_ok()
                && helper::hear(&mut client.0).await.is_some_and(|heard| heard.status() == 200)
            {
                return tries;
            }
            helper::pause(50).await;
        }
    })
    .await
}

async fn a_flood_leaves_known_clients_and_new_ones_their_way(sockets: usize) {
    let backend = Backend::start(&[Do::Say(ok("x"))]).await;
    let setup = Setup { sockets, descriptors: Some(sockets as u64), ..setup(&backend, "[admission]\n") };
    let world = World::set(&setup, Mood::Adds).await;
    become_known(&world.gateway).await;
    let stop = Arc::new(AtomicBool::new(false));
    let turned_away = flood(&world.gateway, &stop);
    helper::until("a flood that is turned away", || turned_away.load(Ordering::SeqCst) > 20).await;
    let before = backend.attempts();
    let mut kept = world.gateway.client_from(KNOWN).await;
    for n in 0..40 {
        // By turns on a connection that is kept and on new ones; a kept one may have been asked to leave while it was idle.
        if n % 2 == 0 {
            kept = world.gateway.client_from(KNOWN).await;
        }
        assert_eq!(order(&mut kept).await.status(), 200, "order {n}");
        assert!(world.gateway.descriptors() <= sockets);
    }
    assert_eq!(backend.attempts() - before, 40, "each order once");
    let tries = get_in(&world.gateway).await;
    assert!(tries <= 20, "{tries} tries");
    stop.store(true, Ordering::SeqCst);
    assert_eq!(backend.attempts() - before, 41);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_flood_at_256_descriptors_leaves_known_clients_and_new_ones_their_way() {
    a_flood_leaves_known_clients_and_new_ones_their_way(256).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_flood_at_1024_descriptors_leaves_known_clients_and_new_ones_their_way() {
    a_flood_leaves_known_clients_and_new_ones_their_way(1024).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_in_flight_get_their_one_answer_while_the_room_is_full_and_more_come() {
    let backend = Backend::start(&[Do::SayLater(1500, ok("late"))]).await;
    let setup = Setup { sockets: 48, ..setup(&backend, WIDE) };
    let world = World::set(&setup, Mood::Adds).await;
    // All four of six that clients whom nobody knows may have.
    let mut busy = Vec::new();
    for n in 0..4 {
        let mut client = world.gateway.client_from(Ipv4Addr::new(127, 0, 7, n + 1)).await;
        client.write(&request("order", 20_000, "", "b")).await;
        busy.push(client);
    }
    helper::until("the attempts", || backend.attempts() == 4).await;
    let mut refused = 0;
    for n in 0..12 {
        let client = world.gateway.try_client_from(Ipv4Addr::new(127, 0, 8, n + 1)).await;
        if refusal(client).await.is_none_or(|text| is_whole_503(&text)) {
            refused += 1;
        }
    }
    assert!(refused > 0);
    for client in &mut busy {
        assert_eq!(client.read().await.body, b"late");
        client.is_closed().await;
    }
    assert_eq!(backend.attempts(), 4);
}

#[tokio::test(flavor = "multi_thread")]
async fn when_the_machine_has_no_descriptor_left_who_comes_reads_503_and_what_is_in_flight_is_answered() {
    let backend = Backend::start(&[Do::SayLater(1000, ok("late")), Do::Say(ok("x"))]).await;
    let world = world(&backend, WIDE).await;
    let mut busy = world.gateway.client_from(KNOWN).await;
    busy.write(&request("order", 20_000, "", "b")).await;
    helper::until("the attempt", || backend.attempts() == 1).await;
    // Something outside the budget has taken all.
    world.gateway.exhaust_descriptors();
    for _ in 0..5 {
        let text = refusal(world.gateway.try_client_from(NEW).await).await.expect("no reset");
        assert!(is_whole_503(&text), "{text}");
    }
    assert_eq!(busy.read().await.body, b"late");
    busy.stays_quiet().await;
    world.gateway.limit_descriptors(1024);
    helper::soon("room again", async {
        while world.gateway.client_from(NEW).await.ask(UP).await.status() != 200 {}
    })
    .await;
    assert_eq!(backend.attempts(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_was_taken_gets_its_backend_connection_though_descriptors_ran_out() {
    let backend = Backend::start(&[Do::Say(ok("x"))]).await;
    let world = world(&backend, WIDE).await;
    let mut client = world.gateway.client_from(KNOWN).await;
    let mut idle = world.gateway.client_from(NEW).await;
    assert_eq!(client.ask(UP).await.status(), 200);
    assert_eq!(idle.ask(UP).await.status(), 200);
    world.gateway.exhaust_descriptors();
    let reply = order(&mut client).await;
    assert_eq!((reply.status(), backend.attempts()), (200, 1));
    // The spare descriptor went to the backend: an idle client makes room for the next.
    idle.is_closed().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_limit_lower_than_configured_is_told_at_the_start_and_kept() {
    let backend = Backend::start(&[Do::Say(ok("x"))]).await;
    let setup = Setup { descriptors: Some(80), ..setup(&backend, WIDE) };
    let world = World::set(&setup, Mood::Adds).await;
    assert_eq!(world.gateway.log_lines("descriptors: the machine allows 80, the configuration says 1024"), 1);
    let mut all = Vec::new();
    for n in 0..100 {
        all.push(world.gateway.try_client_from(Ipv4Addr::new(127, 0, 8, n + 1)).await);
    }
    get_in(&world.gateway).await;
    assert!(world.gateway.descriptors() <= 80);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_flood_that_begins_while_the_gateway_drains_holds_up_neither_answers_nor_the_end() {
    let backend = Backend::start(&[Do::SayLater(700, ok("late"))]).await;
    let setup = Setup { sockets: 256, ..setup(&backend, "[admission]\n") };
    let mut world = World::set(&setup, Mood::Adds).await;
    let mut busy = world.gateway.client_from(KNOWN).await;
    busy.write(&request("order", 20_000, "", "b")).await;
    helper::until("the attempt", || backend.attempts() == 1).await;
    world.gateway.terminate();
    let stop = Arc::new(AtomicBool::new(false));
    flood(&world.gateway, &stop);
    assert_eq!(busy.read().await.body, b"late");
    assert_eq!(world.gateway.ended().await.code(), Some(0));
    stop.store(true, Ordering::SeqCst);
    assert_eq!(backend.attempts(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_leave_no_descriptor_behind_however_they_end() {
    let backend = Backend::start(&[Do::Say(ok("x"))]).await;
    let world = world(&backend, "[admission.caps]\nopen = 2\n").await;
    assert_eq!(world.gateway.client_from(KNOWN).await.ask(UP).await.status(), 200);
    helper::until("the close", || world.gateway.descriptors() < 64).await;
    let before = world.gateway.descriptors();
    for n in 0..600_u32 {
        let from = Ipv4Addr::new(127, 3, (n / 250) as u8, (n % 250) as u8 + 1);
        let mut clients = Vec::new();
        for _ in 0..3 {
            clients.extend(world.gateway.try_client_from(from).await);
        }
        if n % 2 == 0 {
            for client in &mut clients {
                let _ = client.0.get_mut().write_all(UP.as_bytes()).await;
                let _ = helper::hear(&mut client.0).await;
            }
        } else {
            clients.iter().for_each(|client| drop(client.0.get_ref().set_zero_linger()));
        }
    }
    // The one of before may be gone as well.
    helper::until("all descriptors back", || world.gateway.descriptors() <= before).await;
}

const PROXY: &str = "[[admission.proxy]]\nnetworks = [\"127.0.9.0/24\"]\nopen = 40\n";
const TRUSTED: Ipv4Addr = Ipv4Addr::new(127, 0, 9, 1);

#[tokio::test(flavor = "multi_thread")]
async fn behind_a_proxy_connections_count_for_the_client_that_its_header_names() {
    let backend = Backend::start(&[Do::Say(ok("x"))]).await;
    let world =
        world(&backend, &format!("[admission.caps]\nopen = 1\n{PROXY}header = \"proxy-protocol\"\n")).await;
    let mut kept = Vec::new();
    for (client, status) in [("192.0.2.1", 200), ("192.0.2.1", 503), ("192.0.2.2", 200), ("2001:db8::1", 200)]
    {
        let family = if client.contains(':') { "TCP6" } else { "TCP4" };
        let to = if client.contains(':') { "::1" } else { "127.0.0.1" };
        let mut carried = world.gateway.client_from(TRUSTED).await;
        // In two pieces, the second with the request behind it.
        carried.write(&format!("PROXY {family} {client}")).await;
        helper::pause(20).await;
        carried.write(&format!(" {to} 56324 443\r\n{}", request("order", 900, "", "b"))).await;
        assert_eq!(carried.read().await.status(), status, "{client}");
        kept.push(carried);
    }
    // Version 2, and the proxy's own health check.
    let mut second = world.gateway.client_from(TRUSTED).await;
    let header = b"\r\n\r\n\0\r\nQUIT\n\x21\x11\0\x0c\xc0\0\x02\x03\x7f\0\0\x01\xdc\x04\x01\xbb";
    second.0.get_mut().write_all(header).await.expect("written");
    assert_eq!(order(&mut second).await.status(), 200);
    let mut check = world.gateway.client_from(TRUSTED).await;
    check.0.get_mut().write_all(b"\r\n\r\n\0\r\nQUIT\n\x20\0\0\0").await.expect("written");
    assert_eq!(check.ask(UP).await.status(), 200);
    assert_eq!(backend.attempts(), 4);
    // From a proxy that is believed nothing but such a header begins a connection.
    for bad in [UP, "PROXY TCP4 1.2.3.4\r\n", "PROXY TCP4 1.2.3.4 5.6.7.8 1 99999\r\n"] {
        let mut client = world.gateway.client_from(TRUSTED).await;
        client.write(bad).await;
        client.is_closed().await;
    }
    // And from nobody else one does.
    for forged in [b"PROXY TCP4 192.0.2.9 127.0.0.1 1 2\r\n".as_slice(), header] {
        let mut client = world.gateway.client_from(NEW).await;
        let _ =
            client.0.get_mut().write_all(&[forged, request("order", 900, "", "b").as_bytes()].concat()).await;
        let text = refusal(Some(client)).await.unwrap_or_default();
        assert!(
            text.is_empty() || text.starts_with("HTTP/1.1 400 ") && text.matches("HTTP/1.1").count() == 1,
            "{text}"
        );
    }
    assert_eq!(backend.attempts(), 4);
}

#[tokio::test(flavor = "multi_thread")]
async fn on_a_shared_connection_requests_count_for_the_clients_that_they_name() {
    let backend = Backend::start(&[Do::SayLater(800, ok("x"))]).await;
    let world =
        world(&backend, &format!("[admission.caps]\nopen = 1\n{PROXY}header = \"x-forwarded-for\"\n")).await;
    let mut lines: Vec<Client> = Vec::new();
    for _ in 0..3 {
        lines.push(world.gateway.client_from(TRUSTED).await);
    }
    let named = |client: &str| {
        request("look", 20_000, &format!("X-Forwarded-For: 203.0.113.5, {client}, 127.0.9.7\r\n"), "")
    };
    lines[0].write(&named("192.0.2.1")).await;
    helper::until("the attempt", || backend.attempts() == 1).await;
    // Another of the same client is refused; the proxy keeps its connection for others.
    let refused = lines[1].ask(&named("192.0.2.1")).await;
    assert_eq!((refused.status(), refused.headers.contains_key("retry-after")), (503, true));
    lines[1].write(&named("192.0.2.2")).await;
    lines[2].write(&request("look", 20_000, "X-Forwarded-For: nobody\r\n", "")).await;
    assert_eq!(lines[2].read().await.status(), 400);
    lines[2].is_closed().await;
    assert_eq!((lines[0].read().await.status(), lines[1].read().await.status()), (200, 200));
    assert_eq!(lines[1].ask(&named("192.0.2.1")).await.status(), 200);
    assert_eq!(backend.attempts(), 3);
    // Who is no proxy names nobody.
    for forged in ["X-Forwarded-For: 192.0.2.1\r\n", "Forwarded: for=192.0.2.1\r\n"] {
        let mut client = world.gateway.client_from(NEW).await;
        assert_eq!(client.ask(&request("look", 900, forged, "")).await.status(), 400);
        client.is_closed().await;
    }
    assert_eq!(backend.attempts(), 3);
}

#[tokio::test(flavor = "multi_thread")]
async fn without_an_operators_file_a_proxys_headers_say_nothing() {
    let backend = Backend::start(&[Do::Say(ok("x"))]).await;
    let world = World::with(&[&backend]).await;
    let text = request("look", 900, "X-Forwarded-For: 192.0.2.1\r\nForwarded: for=_x\r\n", "");
    assert_eq!(world.gateway.client().await.ask(&text).await.status(), 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_heads_and_bodies_end_before_the_time_for_a_whole_request() {
    let backend = Backend::start(&[Do::Say(ok("x"))]).await;
    let pace =
        "[admission.pace]\nrequest = \"10min\"\nhead = \"300ms\"\nbody = \"1000/s\"\ngrace = \"300ms\"\n";
    let world = world(&backend, pace).await;
    let half = request("order", 900, "", "").replace("Content-Length: 0", "Content-Length: 60000");
    for start in ["GET /look HTTP/1.1\r\nX-Slow: ", half.as_str()] {
        let mut client = world.gateway.client_from(NEW).await;
        client.write(start).await;
        helper::soon("the close", async {
            while client.0.get_mut().write_all(b"y").await.is_ok() {
                helper::pause(20).await;
            }
        })
        .await;
    }
    // One that keeps up the rate is served, far beyond the grace.
    let mut client = world.gateway.client_from(NEW).await;
    let whole = request("order", 900, "", &"y".repeat(3000));
    let (head, body) = whole.split_at(whole.len() - 3000);
    client.write(head).await;
    for part in body.as_bytes().chunks(250) {
        client.0.get_mut().write_all(part).await.expect("written");
        helper::pause(60).await;
    }
    assert_eq!(client.read().await.status(), 200);
    assert_eq!(backend.attempts(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_client_that_never_reads_is_let_go_of() {
    let backend = Backend::start(&[Do::Say(ok(&"x".repeat(60_000)))]).await;
    let world = world(&backend, "[admission.pace]\nrequest = \"10min\"\ngrace = \"200ms\"\n").await;
    let mut client = world.gateway.client_from(NEW).await;
    // More answers than all buffers on the way hold.
    helper::soon("the close", async {
        for _ in 0..2000 {
            if client.0.get_mut().write_all(request("look", 20_000, "", "").as_bytes()).await.is_err() {
                return;
            }
            helper::pause(1).await;
        }
        panic!("it was never closed");
    })
    .await;
}
