//! The gateway in service among clients that do not behave: it lives, its memory and its open descriptors stay within
//! the limits of its machine, and an ordinary request is answered.

mod helper;

use fennelscale_fault::process::peak_memory;
use helper::{Backend, Client, Do, Mood, Setup, World, ok, request, row};
use std::net::Ipv4Addr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::time::{sleep, timeout};

/// The least memory and descriptors of a gateway's machine.
const MEMORY: u64 = 192_000_000;
const DESCRIPTORS: usize = 1024;
/// The crowd, each at an address of its own, and the chunks of one byte that each of its clients sends; a body may have 65,536 bytes.
const CROWD: usize = 100;
const CHUNKS: usize = 60_000;
/// Clients may take long for their requests here.
const PACE: &str =
    "[admission.pace]\nrequest = \"10min\"\nhead = \"10min\"\nbody = \"1/s\"\ngrace = \"10min\"\n";
/// A process that uses so little of its processor in this time has done what it was given to do.
const STILL: Duration = Duration::from_secs(1);
const STILL_USE: Duration = Duration::from_millis(100);
const MOST_LOOKS: usize = 60;

/// Guards against running out of memory: each chunk was kept by itself, at far more than its length.
#[tokio::test(flavor = "multi_thread")]
async fn many_bodies_in_chunks_of_one_byte_stay_within_the_memory() {
    let backend = Backend::start(&[Do::Say(ok("x"))]).await;
    let setup = Setup {
        sockets: DESCRIPTORS,
        operators: Some(PACE.to_owned()),
        ..Setup::knowing(&[row("b", backend.at, "in_service")])
    };
    let world = World::set(&setup, Mood::Adds).await;
    let body = "1\r\nx\r\n".repeat(CHUNKS);
    let mut crowd: Vec<Client> = Vec::new();
    for number in 0..CROWD {
        let head = request("order", 60_000, "Transfer-Encoding: chunked\r\n", "");
        let mut client = world.gateway.client_from(Ipv4Addr::new(127, 10, number as u8, 1)).await;
        client.write(&head.replace("Content-Length: 0\r\n", "")).await;
        let _ = timeout(STILL, client.0.write_all(body.as_bytes())).await;
        crowd.push(client);
    }
    for _ in 0..MOST_LOOKS {
        let before = world.gateway.cpu();
        sleep(STILL).await;
        if world.gateway.cpu() < before + STILL_USE {
            break;
        }
    }
    let peak = peak_memory(world.gateway.id()).expect("its memory");
    let open = world.gateway.descriptors();
    assert!(peak <= MEMORY, "memory rose to {peak} of {MEMORY} bytes");
    assert!(open <= DESCRIPTORS, "{open} descriptors are open");
    assert_eq!(world.gateway.client().await.ask(&request("order", 60_000, "", "b")).await.status(), 200);
    drop(crowd);
    assert_eq!(world.gateway.client().await.ask(&request("order", 60_000, "", "b")).await.status(), 200);
    eprintln!("peak memory {peak} of {MEMORY} bytes, {open} descriptors");
}
