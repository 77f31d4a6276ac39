use super::*;
use crate::depot::{Entry, Epoch, Stamp, VersionRecord, Word};

fn accept() -> Word {
    let stamp = Stamp { epoch: Epoch { round: 3, seat: Host(0x0a01_0023) }, turn: 2 };
    let history = vec![VersionRecord { revision: 7, content: 1 }];
    let entry = Entry { stamp, revision: 9, host: "h.example".into(), body: Some("{}".into()), history };
    Word::Accept { stamp, entries: vec![("r:a".into(), entry)], chosen: 1 }
}

#[test]
fn the_bytes_of_a_word_stay_as_they_are() {
    // A change of these bytes needs a new VERSION.
    assert_eq!(hash(&frame(&accept())), 5082943336319844485, "{:02x?}", frame(&accept()));
}

#[test]
fn a_frame_is_read_back_and_anything_else_is_refused() {
    let frame = frame(&accept());
    let body = &frame[4..];
    assert_eq!(length(frame[..4].try_into().unwrap()), Ok(body.len()));
    assert_eq!(read::<Word>(body), Ok(accept()));
    assert_eq!(read::<Word>(&[VERSION + 1, 0]), Err(Unreadable::Version(VERSION + 1)));
    for cut in 0..body.len() {
        assert!(read::<Word>(&body[..cut]).is_err(), "cut at {cut}");
    }
    assert!(length((LONGEST as u32 + 1).to_le_bytes()).is_err() && length([0; 4]).is_err());
}
