//! Tests the proxy as a process of its own among clients that do not behave: it lives, its memory and its open
//! descriptors stay within its settings, and an ordinary request is answered afterwards.
//!
//! The limits, the crowds and the bounds are fixed: the bounds are those of the settings.

mod helper;

use fennelscale_fault::process::{descriptors, peak_memory, processor_time};
use helper::process::ProxyProcess;
use helper::sized_backend::{self, SILENT, SIZED, SizedBackend};
use helper::{METRICS_PORT, ProcessLimits, Proxy, READINESS_PORT, TestBed, wait_until};
use std::future::Future;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{sleep, timeout};

/// The limits of the process in most tests, and the largest body that its configuration allows.
const LOW_LIMITS: ProcessLimits = ProcessLimits { memory_mb: 64, descriptors: 800 };
const MAX_BODY: usize = 8 << 20;
/// Bytes of `memoryMb`.
const MEGABYTE: u64 = 1_000_000;
/// Descriptors that stay reserved for files.
const RESERVED_DESCRIPTORS: usize = 200;
/// A client that can neither write nor read for so long stays as it is.
const STALLED: Duration = Duration::from_secs(3);
/// A process that uses so little of the processor between two looks, so many times, has nothing left to do.
const SETTLE_INTERVAL: Duration = Duration::from_millis(200);
const IDLE_USE: Duration = Duration::from_millis(10);
const SETTLED_CHECKS: usize = 4;
const MOST_SETTLE_CHECKS: usize = 300;
/// Bodies and answers of most crowds, inside [`MAX_BODY`].
const LARGE: usize = 7_000_000;
const CHUNK: usize = 1 << 20;
/// Number of clients of most crowds. Together they send or ask for far more than the memory.
const CROWD: usize = 16;

/// The tests of this program run one at a time.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// A proxy process with its backend.
struct Scene {
    test_bed: TestBed,
    backend: SizedBackend,
    proxy: Proxy,
    process: ProxyProcess,
    limits: ProcessLimits,
}

impl Scene {
    async fn start(number: u8, limits: ProcessLimits, max_body: usize) -> Self {
        let test_bed = TestBed::new(number).with_limits(limits);
        let backend = sized_backend::start(&test_bed).await;
        let (proxy, process) = Proxy::start_process(&test_bed).await;
        proxy.send_max_body(2, max_body);
        proxy.send_list(1, vec![backend.entry.clone()]).await;
        Self { test_bed, backend, proxy, process, limits }
    }

    /// The head of a request up to the headers of its body.
    fn head(&self, path: &str) -> String {
        let id = self.test_bed.next_id();
        format!(
            "POST {path} HTTP/1.1\r\nHost: music.example\r\nFennelscale-Request-Id: {id}\r\nFennelscale-Deadline-Ms: 100000\r\n"
        )
    }

    /// A client that writes all of `pieces`, as far as the proxy takes them, and stays open without reading.
    async fn write(&self, head: &str, pieces: impl Iterator<Item = Vec<u8>>) -> TcpStream {
        let mut stream = self.test_bed.connect().await;
        let _ = stream.write_all(head.as_bytes()).await;
        for piece in pieces {
            match timeout(STALLED, stream.write_all(&piece)).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) | Err(_) => break,
            }
        }
        stream
    }

    /// A client with a chunked body of `size` bytes in chunks of `chunk`, a byte short of its end.
    async fn chunked_a_byte_short(&self, size: usize, chunk: usize) -> TcpStream {
        let head = self.head("/upload/") + "Transfer-Encoding: chunked\r\n\r\n";
        let one = |length: usize| {
            let mut bytes = format!("{length:x}\r\n").into_bytes();
            bytes.resize(bytes.len() + length, b'x');
            bytes.extend_from_slice(b"\r\n");
            bytes
        };
        // Small chunks are written by the thousand.
        let batch = (CHUNK / chunk).clamp(1, 10_000);
        let batches = (size - 1) / (chunk * batch);
        let rest = size - 1 - batches * chunk * batch;
        let whole = one(chunk).repeat(batch);
        let last = one(rest.max(1));
        self.write(&head, (0..batches).map(|_| whole.clone()).chain([last])).await
    }

    /// A client with a body of this length, of which it withholds the last bytes.
    async fn with_length(&self, path: &str, length: usize, withheld: usize) -> TcpStream {
        let head = self.head(path) + &format!("Content-Length: {length}\r\n\r\n");
        self.write(&head, [vec![b'x'; length - withheld]].into_iter()).await
    }

    /// A client that asks for an answer of this size, and waits for its first byte.
    async fn ask(&self, size: usize) -> TcpStream {
        let head = self.head(&format!("{SIZED}{size}")) + "Content-Length: 0\r\n\r\n";
        let mut stream = self.test_bed.connect().await;
        let _ = stream.write_all(head.as_bytes()).await;
        let _ = stream.read_u8().await;
        stream
    }

    /// A client with a head that does not end.
    async fn long_client_head(&self) -> TcpStream {
        let head = self.head("/") + "X-Long: " + &"x".repeat(15_000);
        self.write(&head, std::iter::empty()).await
    }

    /// A caller of another port of the proxy with a head that does not end.
    async fn long_head(&self, port: u16) -> TcpStream {
        let mut stream = self.test_bed.connect_to(port).await;
        let head = format!("GET / HTTP/1.1\r\nHost: proxy\r\nX-Long: {}", "x".repeat(60_000));
        let _ = stream.write_all(head.as_bytes()).await;
        stream
    }

    /// Checks what must hold at any time.
    fn check(&mut self) {
        assert!(self.process.is_alive(), "the process has ended");
        let peak = peak_memory(self.process.id()).expect("its memory");
        let most = self.limits.memory_mb * MEGABYTE;
        let open = descriptors(self.process.id()).expect("its descriptors");
        let most_open = self.limits.descriptors - RESERVED_DESCRIPTORS;
        eprintln!("peak memory {peak} of {most} bytes, {open} of {most_open} descriptors");
        assert!(peak <= most, "memory rose to {peak} of {most} bytes");
        assert!(open <= most_open, "{open} of {most_open} descriptors are open");
    }

    /// Waits until the process has done what the crowd has given it to do, as far as it will.
    async fn settle(&mut self) {
        let (mut still, mut used) = (0, Duration::ZERO);
        for _ in 0..MOST_SETTLE_CHECKS {
            sleep(SETTLE_INTERVAL).await;
            assert!(self.process.is_alive(), "the process has ended");
            let now = processor_time(self.process.id()).expect("its time");
            still = if now <= used + IDLE_USE { still + 1 } else { 0 };
            used = now;
            if still == SETTLED_CHECKS {
                return;
            }
        }
    }

    /// Checks the process beside the crowd and after it, that an ordinary request is answered each time, and that
    /// nothing is held in the end.
    async fn check_and_dismiss<T>(&mut self, crowd: Vec<T>) {
        self.settle().await;
        self.check();
        assert_eq!(self.test_bed.request("/ordinary").await.ok(), Some(200), "beside the crowd");
        drop(crowd);
        assert_eq!(self.test_bed.request("/ordinary").await.ok(), Some(200), "after the crowd");
        self.check();
        let held = async || self.proxy.metric("held_memory_bytes", "").await;
        assert!(self.proxy.metric("memory_limit_bytes", "").await > 0.0);
        wait_until("everything is given back", async || held().await == 0.0).await;
    }
}

/// Plays a crowd of `count` clients on a proxy with low limits.
fn play(number: u8, scene: impl AsyncFn(&mut Scene)) {
    play_with(number, LOW_LIMITS, MAX_BODY, scene);
}

fn play_with(number: u8, limits: ProcessLimits, max_body: usize, play: impl AsyncFn(&mut Scene)) {
    let _alone = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    helper::run(async {
        let mut scene = Scene::start(number, limits, max_body).await;
        play(&mut scene).await;
    });
}

/// Waits for all at once.
async fn all<T>(futures: impl Iterator<Item = impl Future<Output = T>>) -> Vec<T> {
    let mut futures: Vec<_> = futures.map(|future| (Box::pin(future), None)).collect();
    std::future::poll_fn(|context| {
        for (future, output) in &mut futures {
            if output.is_none()
                && let std::task::Poll::Ready(value) = future.as_mut().poll(context)
            {
                *output = Some(value);
            }
        }
        if futures.iter().all(|(_, output)| output.is_some()) {
            std::task::Poll::Ready(())
        } else {
            std::task::Poll::Pending
        }
    })
    .await;
    futures.into_iter().filter_map(|(_, output)| output).collect()
}

/// Guards against running out of memory: bodies without a length were not counted.
#[test]
fn many_chunked_bodies_a_byte_short_of_their_end() {
    play(1, async |scene| {
        let crowd = all((0..CROWD).map(|_| scene.chunked_a_byte_short(LARGE, CHUNK))).await;
        scene.check_and_dismiss(crowd).await;
    });
}

/// Guards against running out of memory: each chunk was kept by itself, at far more than its length.
#[test]
fn many_chunked_bodies_in_chunks_of_one_byte() {
    play(2, async |scene| {
        let crowd = all((0..CROWD).map(|_| scene.chunked_a_byte_short(400_000, 1))).await;
        scene.check_and_dismiss(crowd).await;
    });
}

/// Guards against running out of memory: answers were not counted.
#[test]
fn many_long_answers_that_nobody_reads() {
    play(3, async |scene| {
        let crowd = all((0..CROWD).map(|_| scene.ask(LARGE))).await;
        scene.check_and_dismiss(crowd).await;
    });
}

/// Guards against a promise that cannot be kept, and against a backend that is blamed: the request has run.
#[test]
fn an_answer_without_room_is_a_failure_and_its_request_runs_once() {
    play(12, async |scene| {
        let crowd = all((0..CROWD).map(|_| scene.ask(LARGE))).await;
        for path in ["", "/repeatable"] {
            let before = scene.backend.sized_requests.get();
            let answer = scene.test_bed.upload(&format!("{path}{SIZED}{LARGE}"), 1).await.expect("no panic");
            assert_eq!(answer.map(|(status, _)| status), Some(502), "{path}");
            assert_eq!(scene.backend.sized_requests.get(), before + 1, "{path}");
        }
        scene.check_and_dismiss(crowd).await;
        let answer = scene.test_bed.upload(&format!("{SIZED}{LARGE}"), 1).await.expect("no panic");
        assert_eq!(answer.map(|(status, body)| (status, body.len())), Some((200, LARGE)), "in calm again");
    });
}

/// Guards against running out of memory: answers were not counted, and a reader that is slow kept all of its own.
#[test]
fn many_long_answers_that_are_read_slowly() {
    play(4, async |scene| {
        let crowd = all((0..CROWD).map(|_| scene.ask(LARGE))).await;
        let read_slowly = |mut stream: TcpStream| async move {
            let mut some = [0; 1024];
            while let Ok(1..) = stream.read(&mut some).await {
                sleep(Duration::from_millis(100)).await;
            }
        };
        let readers: Vec<JoinHandle<()>> =
            crowd.into_iter().map(|stream| spawn_local(read_slowly(stream))).collect();
        let more = all((0..CROWD).map(|_| scene.ask(LARGE))).await;
        readers.iter().for_each(JoinHandle::abort);
        scene.check_and_dismiss(more).await;
    });
}

/// Guards against running out of memory: the next request was answered before the last answer was taken.
#[test]
fn requests_behind_requests_whose_answers_nobody_reads() {
    play(5, async |scene| {
        let crowd = all((0..CROWD).map(|_| async {
            let request = scene.head(&format!("{SIZED}{}", LARGE / 2)) + "Content-Length: 0\r\n\r\n";
            scene.write("", (0..1000).map(|_| request.clone().into_bytes())).await
        }))
        .await;
        scene.check_and_dismiss(crowd).await;
    });
}

/// Guards against work and memory for a client that takes nothing: of its requests one at a time is at a backend.
#[test]
fn a_request_behind_an_answer_that_is_not_taken_waits_and_is_then_served() {
    play(14, async |scene| {
        let request = || scene.head(&format!("{SIZED}{LARGE}")) + "Content-Length: 0\r\n\r\n";
        let last = scene.head("/") + "Content-Length: 0\r\nConnection: close\r\n\r\n";
        let mut stream = scene.test_bed.connect().await;
        stream.write_all((request() + &request() + &last).as_bytes()).await.expect("written");
        scene.settle().await;
        assert_eq!(scene.backend.sized_requests.get(), 1, "the second waits");
        let mut answers = Vec::new();
        stream.read_to_end(&mut answers).await.expect("three answers");
        let whole = answers.windows(15).filter(|part| part == b"HTTP/1.1 200 OK").count();
        assert_eq!((whole, scene.backend.sized_requests.get()), (3, 2));
        assert!(answers.len() > 2 * LARGE);
    });
}

/// Guards against running out of memory: bodies were counted only while they were read.
#[test]
fn many_whole_bodies_for_a_backend_that_is_silent() {
    play(6, async |scene| {
        let mut crowd = Vec::new();
        for _ in 0..CROWD {
            crowd.push(scene.with_length(SILENT, LARGE, 0).await);
            scene.settle().await;
        }
        scene.check_and_dismiss(crowd).await;
    });
}

/// Guards against a lasting lack of memory: the memory of a body was not given back when its connection's time was over.
#[test]
fn what_a_silent_client_held_is_there_again_once_its_time_is_over() {
    play(7, async |scene| {
        let crowd = all((0..3).map(|_| scene.with_length("/upload/", MAX_BODY, 1))).await;
        for mut stream in crowd {
            let mut rest = Vec::new();
            let _ = stream.read_to_end(&mut rest).await;
        }
        let upload = scene.test_bed.upload("/upload/", MAX_BODY).await.expect("no panic");
        assert_eq!(upload, Some((200, MAX_BODY.to_string())));
        scene.check_and_dismiss(Vec::<TcpStream>::new()).await;
    });
}

/// A limit that is lowered in the middle of a body holds from the next request on.
#[test]
fn a_body_that_was_begun_before_its_limit_was_lowered_is_served() {
    play(15, async |scene| {
        let mut begun = scene.with_length("/upload/", LARGE, 1).await;
        scene.settle().await;
        scene.proxy.send_max_body(3, LARGE / 2);
        let status = async |length: usize| {
            let upload = scene.test_bed.upload("/upload/", length).await.expect("no panic");
            upload.map(|(status, _)| status)
        };
        wait_until("the limit is in force", async || status(LARGE / 2 + 1).await != Some(200)).await;
        begun.write_all(b"x").await.expect("written");
        let mut answer = [0; 12];
        begun.read_exact(&mut answer).await.expect("an answer");
        assert_eq!(&answer, b"HTTP/1.1 200");
        assert_eq!(status(LARGE / 2).await, Some(200));
        scene.check_and_dismiss(vec![begun]).await;
    });
}

/// Guards against refusing what the configuration allows: the share for bodies was below the largest one.
#[test]
fn one_body_of_the_largest_size_is_served_in_calm() {
    const LARGEST: usize = 64 << 20;
    for memory_mb in [160, 256, 260] {
        let limits = ProcessLimits { memory_mb, descriptors: 4100 };
        play_with(8, limits, LARGEST, async |scene| {
            let upload = scene.test_bed.upload("/upload/", LARGEST).await.expect("no panic");
            assert_eq!(upload, Some((200, LARGEST.to_string())), "{memory_mb} MB");
            scene.check_and_dismiss(Vec::<TcpStream>::new()).await;
        });
    }
}

/// Guards against memory that was freed and stays resident: crowds of different sizes must not add up.
#[test]
fn crowds_of_different_sizes_one_after_another() {
    play(9, async |scene| {
        for (count, size, chunk) in [(CROWD, LARGE, CHUNK), (150, 300_000, 4096), (40, 3_000_000, 100_000)] {
            let crowd = all((0..count).map(|_| scene.chunked_a_byte_short(size, chunk))).await;
            scene.check_and_dismiss(crowd).await;
            let crowd = all((0..count).map(|_| scene.ask(size))).await;
            scene.check_and_dismiss(crowd).await;
        }
    });
}

/// Guards against running out of memory: each head at the addresses for the platform could have 64 KiB.
#[test]
fn long_heads_at_the_platforms_addresses_beside_bodies_and_heads_of_clients() {
    let limits = ProcessLimits { memory_mb: 64, descriptors: 2600 };
    play_with(13, limits, MAX_BODY, async |scene| {
        let bodies = all((0..150).map(|_| scene.chunked_a_byte_short(300_000, 4096))).await;
        let mut heads = all((0..700).map(|_| scene.long_client_head())).await;
        for port in [READINESS_PORT, METRICS_PORT] {
            heads.extend(all((0..190).map(|_| scene.long_head(port))).await);
        }
        scene.check_and_dismiss(vec![bodies, heads]).await;
    });
}

/// All crowds at once, and heads that do not end.
#[test]
fn all_crowds_at_once() {
    play(10, async |scene| {
        let heads = all((0..200).map(|_| scene.long_client_head())).await;
        let chunked = all((0..CROWD).map(|_| scene.chunked_a_byte_short(LARGE, CHUNK))).await;
        let small_chunks = all((0..CROWD).map(|_| scene.chunked_a_byte_short(400_000, 1))).await;
        let answers = all((0..CROWD).map(|_| scene.ask(LARGE))).await;
        let silent = all((0..CROWD).map(|_| scene.with_length(SILENT, LARGE, 0))).await;
        scene.check_and_dismiss(vec![heads, chunked, small_chunks, answers, silent]).await;
    });
}

/// Guards against running out of memory: heads were not counted, beside bodies that fill their share.
#[test]
fn very_many_heads_that_do_not_end_beside_long_bodies() {
    let limits = ProcessLimits { memory_mb: 64, descriptors: 2600 };
    play_with(11, limits, MAX_BODY, async |scene| {
        let bodies = all((0..150).map(|_| scene.chunked_a_byte_short(300_000, 4096))).await;
        let heads = all((0..700).map(|_| scene.long_client_head())).await;
        scene.check_and_dismiss(vec![bodies, heads]).await;
    });
}
