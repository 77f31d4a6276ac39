//! Lines between processes, on loopback.

use fennelscale_host::link;
use fennelscale_messages::{Host, encode_frame};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// A line on which a machine has said who it is, and one word.
async fn line(to: std::net::SocketAddr, from: Host, word: u32) -> TcpStream {
    let mut stream = TcpStream::connect(to).await.unwrap();
    let mut bytes = encode_frame(&from);
    bytes.extend(encode_frame(&word));
    stream.write_all(&bytes).await.unwrap();
    stream
}

#[tokio::test(flavor = "current_thread")]
async fn what_a_former_life_says_is_not_heard_after_the_new_one_has_spoken() {
    tokio::task::LocalSet::new()
        .run_until(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let to = listener.local_addr().unwrap();
            let (sender, mut heard) = mpsc::unbounded_channel();
            link::receive(listener, move |from: Host, word: u32| sender.send((from, word)).unwrap());
            let mut former = line(to, Host(1), 10).await;
            assert_eq!(heard.recv().await, Some((Host(1), 10)));
            let mut other = line(to, Host(2), 20).await;
            assert_eq!(heard.recv().await, Some((Host(2), 20)));
            let mut life = line(to, Host(1), 11).await;
            assert_eq!(heard.recv().await, Some((Host(1), 11)));
            // Held up until now on the former life's line.
            former.write_all(&encode_frame(&12_u32)).await.unwrap();
            life.write_all(&encode_frame(&13_u32)).await.unwrap();
            other.write_all(&encode_frame(&21_u32)).await.unwrap();
            let mut rest = [heard.recv().await.unwrap(), heard.recv().await.unwrap()];
            rest.sort_unstable();
            assert_eq!(rest, [(Host(1), 13), (Host(2), 21)]);
            // Its line is closed, and nothing of it comes later.
            while former.write_all(&encode_frame(&14_u32)).await.is_ok() {
                tokio::task::yield_now().await;
            }
            assert!(heard.try_recv().is_err());
        })
        .await;
}
