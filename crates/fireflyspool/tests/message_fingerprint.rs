//! What two requests must have in common to count as the same content.

use fireflyspool::node;

fn message(id: &str, host: &'static str, target: &str, body: &'static [u8]) -> node::Message {
    let mut headers = http::HeaderMap::new();
    headers.insert("host", http::HeaderValue::from_static(host));
    let id_value = http::HeaderValue::from_str(id).expect("a header value");
    headers.insert("x-request-id", id_value);
    node::Message {
        id: id.to_owned(),
        method: http::Method::GET,
        target: target.parse().expect("a target"),
        headers,
        body: body.into(),
    }
}

/// Guards against repeats that are not recognized because each attempt has an id of its own.
#[test]
fn repeats_under_other_ids_have_the_same_fingerprint() {
    let first = message("1", "h", "/a/b?c=d", b"body").fingerprint();
    let repeat = message("2", "h", "/a/b?c=d", b"body").fingerprint();
    assert_eq!(first, repeat);
}

/// Guards against innocent requests that are taken for repeats of another one.
#[test]
fn each_part_of_a_request_affects_its_fingerprint() {
    let mut post = message("1", "h", "/a/b?c=d", b"body");
    post.method = http::Method::POST;
    let mut all = vec![
        message("1", "h", "/a/b?c=d", b"body").fingerprint(),
        message("1", "i", "/a/b?c=d", b"body").fingerprint(),
        message("1", "h", "/a/b?c=e", b"body").fingerprint(),
        message("1", "h", "/a/b", b"body").fingerprint(),
        message("1", "h", "/a/b?c=d", b"other").fingerprint(),
        post.fingerprint(),
    ];
    all.sort_unstable();
    all.dedup();
    assert_eq!(all.len(), 6);
}
