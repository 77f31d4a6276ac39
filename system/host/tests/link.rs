//! Connections between processes, over loopback.

use fennelscale_host::link;
use fennelscale_messages::{Host, encode_frame};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// Opens a connection, identifies the sending host and sends one message.
async fn open_connection(to: std::net::SocketAddr, from: Host, message: u32) -> TcpStream {
    let mut stream = TcpStream::connect(to).await.unwrap();
    let mut bytes = encode_frame(&from);
    bytes.extend(encode_frame(&message));
    stream.write_all(&bytes).await.unwrap();
    stream
}

#[tokio::test(flavor = "current_thread")]
async fn messages_of_an_earlier_incarnation_are_ignored_after_one_of_the_new() {
    tokio::task::LocalSet::new()
        .run_until(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let to = listener.local_addr().unwrap();
            let (sender, mut received) = mpsc::unbounded_channel();
            link::receive(listener, move |from: Host, message: u32| sender.send((from, message)).unwrap());
            let mut earlier = open_connection(to, Host(1), 10).await;
            assert_eq!(received.recv().await, Some((Host(1), 10)));
            let mut other = open_connection(to, Host(2), 20).await;
            assert_eq!(received.recv().await, Some((Host(2), 20)));
            let mut newer = open_connection(to, Host(1), 11).await;
            assert_eq!(received.recv().await, Some((Host(1), 11)));
            // Delayed until now on the earlier incarnation's connection.
            earlier.write_all(&encode_frame(&12_u32)).await.unwrap();
            newer.write_all(&encode_frame(&13_u32)).await.unwrap();
            other.write_all(&encode_frame(&21_u32)).await.unwrap();
            let mut rest = [received.recv().await.unwrap(), received.recv().await.unwrap()];
            rest.sort_unstable();
            assert_eq!(rest, [(Host(1), 13), (Host(2), 21)]);
            // That connection is closed, and none of its messages arrives later.
            while earlier.write_all(&encode_frame(&14_u32)).await.is_ok() {
                tokio::task::yield_now().await;
            }
            assert!(received.try_recv().is_err());
        })
        .await;
}
