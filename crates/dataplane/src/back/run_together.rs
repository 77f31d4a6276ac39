//! Recognizes two answers that were read as one.
//!
//! A backend in trouble may break an answer off in the middle of its head and go on with the next answer on the same
//! connection. To a parser that is one head: where the first answer broke off, the status line of the second one goes on,
//! within a header value or the reason phrase. Status and headers of such a head belong to different answers.

use hyper::ext::ReasonPhrase;
use hyper::http::response;

const STATUS_LINE_START: &[u8] = b"HTTP/1.";
/// The minor version and the space behind it, and the digits of the status.
const VERSION_REST: usize = 2;
const STATUS_DIGITS: usize = 3;

/// Whether a head holds the status line of another answer.
pub(super) fn is_run_together(head: &response::Parts) -> bool {
    let reason = head.extensions.get::<ReasonPhrase>();
    reason.is_some_and(|reason| contains_status_line(reason.as_bytes()))
        || head.headers.values().any(|value| contains_status_line(value.as_bytes()))
}

fn contains_status_line(text: &[u8]) -> bool {
    let rest_of = |at| text.get(at + STATUS_LINE_START.len()..).unwrap_or_default();
    let starts = text.windows(STATUS_LINE_START.len()).enumerate();
    starts.filter(|(_, start)| *start == STATUS_LINE_START).any(|(at, _)| is_status_line_rest(rest_of(at)))
}

/// Whether this follows `HTTP/1.` in a status line: a digit, a space, a status, and a space or the end.
fn is_status_line_rest(rest: &[u8]) -> bool {
    let Some((version, rest)) = rest.split_at_checked(VERSION_REST) else { return false };
    let Some((status, rest)) = rest.split_at_checked(STATUS_DIGITS) else { return false };
    version[0].is_ascii_digit()
        && version[1] == b' '
        && status.iter().all(u8::is_ascii_digit)
        && rest.first().is_none_or(|next| *next == b' ')
}

#[cfg(test)]
mod tests {
    use super::*;
    use hyper::Response;

    #[test]
    fn only_a_status_line_within_a_header_shows_that_answers_ran_together() {
        let is_found = |value: &str| {
            let answer = Response::builder().header("x", value).body(()).expect("an answer");
            is_run_together(&answer.into_parts().0)
        };
        for value in ["0.HTTP/1.1 200 OK", "HTTP/1.1 503", "HTTP/1.HTTP/1.0 404 Not Found"] {
            assert!(is_found(value), "{value}");
        }
        for value in ["", "HTTP/1.1 relay", "HTTP/1.1 2000", "HTTP/1.1 20", "HTTP/1.", "HTTP/2 200 OK"] {
            assert!(!is_found(value), "{value}");
        }
    }
}
