use super::*;
use crate::store::{Entry, RevisionRecord, Stamp, StoreMessage, Term};

fn accept() -> StoreMessage {
    let stamp = Stamp { term: Term { number: 3, leader: Host(0x0a01_0023) }, sequence: 2 };
    let history = vec![RevisionRecord { revision: 7, content_hash: 1 }];
    let entry = Entry { stamp, revision: 9, host: "h.example".into(), body: Some("{}".into()), history };
    StoreMessage::Accept { stamp, entries: vec![("r:a".into(), entry)], chosen: 1 }
}

#[test]
fn the_encoding_of_a_message_is_stable() {
    // A change of these bytes needs a new PROTOCOL_VERSION.
    assert_eq!(hash(&encode_frame(&accept())), 5082943336319844485, "{:02x?}", encode_frame(&accept()));
}

#[test]
fn a_frame_round_trips_and_malformed_frames_are_rejected() {
    let frame = encode_frame(&accept());
    let body = &frame[4..];
    assert_eq!(frame_length(frame[..4].try_into().unwrap()), Ok(body.len()));
    assert_eq!(decode_frame::<StoreMessage>(body), Ok(accept()));
    assert_eq!(
        decode_frame::<StoreMessage>(&[PROTOCOL_VERSION + 1, 0]),
        Err(FrameError::Version(PROTOCOL_VERSION + 1))
    );
    for cut in 0..body.len() {
        assert!(decode_frame::<StoreMessage>(&body[..cut]).is_err(), "cut at {cut}");
    }
    assert!(
        frame_length((MAX_FRAME_LENGTH as u32 + 1).to_le_bytes()).is_err() && frame_length([0; 4]).is_err()
    );
}
