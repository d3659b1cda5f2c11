use super::*;

/// Guards against a peer that runs a request although the header can't be decoded.
#[test]
fn malformed_headers_are_rejected() {
    for text in ["", "1", "1,2", "x,0,0", "1,0,0,0", "-1,0,0"] {
        let mut headers = HeaderMap::new();
        headers.insert(FORWARDED, HeaderValue::from_static(text));
        assert_eq!(Forwarded::take(&mut headers), None, "{text:?}");
    }
}

/// Guards against a request that a peer forwards again with the header.
#[test]
fn header_is_decoded_and_removed() {
    let forwarded = Forwarded { config_version: 7, runs: 1, is_counted: true };
    let mut headers = HeaderMap::new();
    forwarded.write(&mut headers);
    assert_eq!(Forwarded::take(&mut headers), Some(forwarded));
    assert!(headers.is_empty());
}

/// Guards against a refusal that reaches the caller as another one.
#[test]
fn refusals_keep_their_names() {
    for refusal in Refusal::ALL {
        let mut headers = HeaderMap::new();
        mark_refused(&mut headers, refusal);
        assert_eq!(peer_refusal(&headers), Some(refusal));
    }
}
